#include "gateway/eventfilter.h"

#include <algorithm>
#include <charconv>

namespace jackdawlead::gateway {

namespace {

// The largest events of the deployments have some hundred bytes; an endpoint that sends more
// without the end of an event sends no events.
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
        const auto read = std::from_chars(line.data(), line.data() + line.size(), id);
        if (read.ec == std::errc())
            return id;
    }
    return std::nullopt;
}

} // namespace

EventFilter::Result EventFilter::feed(std::string_view bytes, std::string &output)
{
    m_rest.append(bytes);
    std::size_t begin = 0;
    for (;;) {
        const std::size_t plain = m_rest.find("\n\n", begin);
        const std::size_t withReturns = m_rest.find("\r\n\r\n", begin);
        const std::size_t end
            = std::min(plain == std::string::npos ? plain : plain + 2,
                       withReturns == std::string::npos ? withReturns : withReturns + 4);
        if (end == std::string::npos)
            break;
        const std::string_view event(m_rest.data() + begin, end - begin);
        if (check(event) == Result::Broken) {
            m_rest.erase(0, begin);
            return Result::Broken;
        }
        output.append(event);
        begin = end;
    }
    m_rest.erase(0, begin);
    if (m_rest.size() <= maxEventBytes)
        return Result::Valid;
    m_rest.clear();
    return Result::Broken;
}

EventFilter::Result EventFilter::check(std::string_view event)
{
    const auto id = idOf(event);
    if (!id)
        return Result::Valid;
    if (m_lastId && *id <= *m_lastId)
        return Result::Broken;
    if (m_isFirstOfLaterRun && m_lastId && *id != *m_lastId + 1)
        return Result::Broken;
    m_isFirstOfLaterRun = false;
    m_lastId = id;
    return Result::Valid;
}

void EventFilter::startNextRun()
{
    m_rest.clear();
    m_isFirstOfLaterRun = true;
}

} // namespace jackdawlead::gateway
