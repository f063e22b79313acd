#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jackdawlead::net {

/// An IP address and a port.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string toString() const { return ip + ":" + std::to_string(port); }
    auto operator<=>(const Address &) const = default;
};

/// Header fields in order; names compare without regard to case.
class Headers
{
public:
    using Field = std::pair<std::string, std::string>;

    Headers() = default;
    Headers(std::initializer_list<Field> fields)
        : m_fields(fields)
    { }

    void add(std::string name, std::string value);
    /// The value of the first field of that name; empty if there is none.
    std::string value(std::string_view name) const;
    bool contains(std::string_view name) const;
    /// Removes every field of that name.
    void remove(std::string_view name);
    /// Replaces every field of that name by one.
    void set(std::string name, std::string value);
    const std::vector<Field> &fields() const { return m_fields; }

private:
    std::vector<Field> m_fields;
};

struct HttpRequest
{
    std::string method = "GET";
    std::string path = "/";
    Headers headers;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    Headers headers;
    std::string body;
};

} // namespace jackdawlead::net
