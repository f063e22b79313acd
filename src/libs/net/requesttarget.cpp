#include "net/requesttarget.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cstdlib>
#include <memory>

namespace jackdawlead::net {

namespace {

struct FreeText
{
    void operator()(char *text) const { std::free(text); }
};
using LibraryText = std::unique_ptr<char, FreeText>;

} // namespace

std::string escaped(std::string_view text)
{
    // A plus sign stands for a blank in queries only, %20 in paths as well.
    constexpr int spaceAsPlus = 0;
    const LibraryText result(
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), spaceAsPlus));
    return result.get();
}

std::string unescaped(std::string_view text)
{
    constexpr int decodePlus = 0;
    std::size_t size = 0;
    const LibraryText result(evhttp_uridecode(std::string(text).c_str(), decodePlus, &size));
    return {result.get(), size};
}

RequestTarget &RequestTarget::addSegment(std::string_view name)
{
    m_text += '/';
    m_text += escaped(name);
    return *this;
}

RequestTarget &RequestTarget::addParameter(std::string_view name, std::string_view value)
{
    m_text += std::exchange(m_hasParameters, true) ? '&' : '?';
    m_text += escaped(name);
    m_text += '=';
    m_text += escaped(value);
    return *this;
}

RequestTarget &RequestTarget::addParameter(std::string_view name, std::int64_t value)
{
    return addParameter(name, std::to_string(value));
}

RequestTarget &RequestTarget::addParameter(std::string_view name, std::uint64_t value)
{
    return addParameter(name, std::to_string(value));
}

std::optional<std::string> ParsedTarget::parameter(std::string_view name) const
{
    const auto found
        = std::ranges::find(parameters, name, &std::pair<std::string, std::string>::first);
    return found == parameters.end() ? std::nullopt : std::optional(found->second);
}

std::optional<ParsedTarget> parseTarget(std::string_view target)
{
    ParsedTarget parsed;
    const std::size_t mark = target.find('?');
    parsed.path = target.substr(0, mark);
    if (mark == std::string_view::npos)
        return parsed;
    evkeyvalq fields {};
    if (evhttp_parse_query_str(std::string(target.substr(mark + 1)).c_str(), &fields) != 0)
        return std::nullopt;
    for (const evkeyval *field = fields.tqh_first; field; field = field->next.tqe_next)
        parsed.parameters.emplace_back(field->key, field->value);
    evhttp_clear_headers(&fields);
    return parsed;
}

} // namespace jackdawlead::net
