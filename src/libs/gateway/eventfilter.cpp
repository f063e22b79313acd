#include "gateway/eventfilter.h"

#include <charconv>

namespace jackdawlead::gateway {

namespace {

// The largest events of the deployments have some hundred bytes; more bytes without the end of an
// event are no event stream.
constexpr std::size_t maxEventBytes = 256 * 1024;
constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

enum class LineEnd {
    Lf,
    CrLf,
    Cr,
    Undecided, ///< CR is the last byte, so that it may be half of a CR LF.
};

struct Line
{
    std::string_view text; ///< Without its end.
    LineEnd end = LineEnd::Lf;
    std::size_t nextBegin = 0;
};

std::optional<Line> lineAt(std::string_view bytes, std::size_t begin)
{
    const std::size_t end = bytes.find_first_of("\r\n", begin);
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string_view text = bytes.substr(begin, end - begin);
    if (bytes[end] == '\n')
        return Line {text, LineEnd::Lf, end + 1};
    if (end + 1 == bytes.size())
        return Line {text, LineEnd::Undecided, end + 1};
    if (bytes[end + 1] == '\n')
        return Line {text, LineEnd::CrLf, end + 2};
    return Line {text, LineEnd::Cr, end + 1};
}

/// Position after the blank line that ends the event at `begin`; npos if it is not complete.
std::size_t eventEndAt(std::string_view bytes, std::size_t begin)
{
    LineEnd previousEnd = LineEnd::Lf;
    while (const auto line = lineAt(bytes, begin)) {
        // After a line that ends with CR alone, CR ends the blank line as well.
        const bool isWholeLine
            = line->end != LineEnd::Undecided || (line->text.empty() && previousEnd == LineEnd::Cr);
        if (!isWholeLine)
            break;
        if (line->text.empty())
            return line->nextBegin;
        previousEnd = line->end;
        begin = line->nextBegin;
    }
    return std::string_view::npos;
}

/// Whether all lines are blank or comments.
bool isComment(std::string_view event)
{
    std::size_t begin = 0;
    while (const auto line = lineAt(event, begin)) {
        if (!line->text.empty() && !line->text.starts_with(':'))
            return false;
        begin = line->nextBegin;
    }
    return true;
}

std::optional<std::uint64_t> idOf(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::size_t begin = 0;
    while (const auto line = lineAt(event, begin)) {
        begin = line->nextBegin;
        if (!line->text.starts_with(field))
            continue;
        std::string_view value = line->text.substr(field.size());
        while (value.starts_with(' '))
            value.remove_prefix(1);
        std::uint64_t id = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), id);
        if (parsed.ec == std::errc())
            return id;
    }
    return std::nullopt;
}

} // namespace

EventFilter::Result EventFilter::feed(std::string_view bytes, std::string &output)
{
    m_incompleteEvent.append(bytes);
    if (m_isRunStart && !takeByteOrderMark(output))
        return Result::Valid;
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = eventEndAt(m_incompleteEvent, begin);
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

bool EventFilter::takeByteOrderMark(std::string &output)
{
    const bool mayBecomeMark = m_incompleteEvent.size() < byteOrderMark.size()
        && byteOrderMark.starts_with(m_incompleteEvent);
    if (mayBecomeMark)
        return false;
    m_isRunStart = false;
    if (m_incompleteEvent.starts_with(byteOrderMark)) {
        if (!m_isLaterRun)
            output.append(byteOrderMark);
        m_incompleteEvent.erase(0, byteOrderMark.size());
    }
    return true;
}

EventFilter::Result EventFilter::check(std::string_view event)
{
    const auto id = idOf(event);
    // Once events have ids, other text is no event of this stream.
    if (!id)
        return m_lastId && !isComment(event) ? Result::Broken : Result::Valid;
    if (m_lastId && *id <= *m_lastId)
        return Result::Broken;
    if (m_requiresNextId && m_lastId && *id != *m_lastId + 1)
        return Result::Broken;
    m_requiresNextId = false;
    m_lastId = id;
    return Result::Valid;
}

bool EventFilter::endsBetweenEvents() const
{
    std::size_t begin = 0;
    while (begin < m_incompleteEvent.size()) {
        const auto line = lineAt(m_incompleteEvent, begin);
        if (!line || line->end == LineEnd::Undecided || !line->text.starts_with(':'))
            return false;
        begin = line->nextBegin;
    }
    return true;
}

void EventFilter::startAfter(std::uint64_t lastId)
{
    m_lastId = lastId;
    m_requiresNextId = true;
}

void EventFilter::startNextRun()
{
    m_incompleteEvent.clear();
    m_requiresNextId = true;
    m_isRunStart = true;
    m_isLaterRun = true;
}

} // namespace jackdawlead::gateway
