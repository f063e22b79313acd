#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jackdawlead::net {

/// Escapes all bytes but letters, digits and -._~ (RFC 3986, section 2), so that the text can stand
/// for a name or a value in a path or a query. Thread safety: any thread.
std::string escaped(std::string_view text);
/// The reverse; other text stays as it is. Thread safety: any thread.
std::string unescaped(std::string_view text);

/// Builds the target of a request from names and values that may hold any bytes. Each of them is
/// escaped, so that none can end a part of the target or begin another one.
/// Thread safety: one thread at a time.
class RequestTarget
{
public:
    /// `path` is a constant path, which is used as it is.
    explicit RequestTarget(std::string_view path)
        : m_text(path)
    { }

    /// Appends a segment to the path. Precondition: the target has no parameters yet.
    RequestTarget &addSegment(std::string_view name);
    RequestTarget &addParameter(std::string_view name, std::string_view value);
    RequestTarget &addParameter(std::string_view name, std::int64_t value);
    RequestTarget &addParameter(std::string_view name, std::uint64_t value);

    const std::string &text() const { return m_text; }

private:
    std::string m_text;
    bool m_hasParameters = false;
};

struct ParsedTarget
{
    std::string path; ///< As it was sent, because a slash that is escaped belongs to a name.
    /// Names and values, unescaped.
    std::vector<std::pair<std::string, std::string>> parameters;

    /// The value of the first parameter of that name.
    std::optional<std::string> parameter(std::string_view name) const;
};

/// Errors: nullopt if the query is malformed. Thread safety: any thread.
std::optional<ParsedTarget> parseTarget(std::string_view target);

} // namespace jackdawlead::net
