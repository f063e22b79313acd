#include "gateway/eventfilter.h"

#include <algorithm>
#include <charconv>

namespace jackdawlead::gateway {

namespace {

// The largest events of the deployments have some hundred bytes; more bytes without the end of an
// event are no event stream.
constexpr std::size_t maxEventBytes = 256 * 1024;

std::optional<std::uint64_t> idOf(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = std::min(event.find('\n', begin), event.size());
        std::string_view line = event.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
        if (parsed.ec == std::errc())
            return id;
    }
    return std::nullopt;
}

} // namespace

EventFilter::Result EventFilter::feed(std::string_view bytes, std::string &output)
{
    m_incompleteEvent.append(bytes);
    std::size_t begin = 0;
    for (;;) {
        const std::size_t endWithLf = m_incompleteEvent.find("\n\n", begin);
        const std::size_t endWithCrLf = m_incompleteEvent.find("\r\n\r\n", begin);
        const std::size_t end
            = std::min(endWithLf == std::string::npos ? endWithLf : endWithLf + 2,
                       endWithCrLf == std::string::npos ? endWithCrLf : endWithCrLf + 4);
        if (end == std::string::npos)
            break;
        const std::string_view event(m_incompleteEvent.data() + begin, end - begin);
        if (check(event) == Result::Broken) {
            m_incompleteEvent.erase(0, begin);
            return Result::Broken;
        }
        output.append(event);
        begin = end;
    }
    m_incompleteEvent.erase(0, begin);
    if (m_incompleteEvent.size() <= maxEventBytes)
        return Result::Valid;
    m_incompleteEvent.clear();
    return Result::Broken;
}

EventFilter::Result EventFilter::check(std::string_view event)
{
    const auto id = idOf(event);
    if (!id)
        return Result::Valid;
    if (m_lastId && *id <= *m_lastId)
        return Result::Broken;
    if (m_requiresNextId && m_lastId && *id != *m_lastId + 1)
        return Result::Broken;
    m_requiresNextId = false;
    m_lastId = id;
    return Result::Valid;
}

void EventFilter::startNextRun()
{
    m_incompleteEvent.clear();
    m_requiresNextId = true;
}

} // namespace jackdawlead::gateway
