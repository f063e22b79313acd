#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jackdawlead::gateway {

/// Splits the bytes of an event stream into complete events and checks their ids, so that a stream
/// can be resumed at another endpoint without missing, duplicate or truncated events. Lines may end
/// with LF, CR LF or CR. Thread safety: one thread at a time.
class EventFilter
{
public:
    enum class Result { Valid, Broken };

    /// Parses bytes of the current run and appends complete events to `output`. Broken: an id is
    /// not greater than the one before or missing, although earlier events have ids; the first
    /// event of a later run doesn't directly follow the last one; or an event is too long.
    Result feed(std::string_view bytes, std::string &output);
    /// The bytes after the last complete event.
    const std::string &incompleteEvent() const { return m_incompleteEvent; }
    /// Whether nothing but whole comment lines follows the last complete event. A stream that ends
    /// otherwise is truncated, whatever its framing says.
    bool endsBetweenEvents() const;
    /// Requires that the first event directly follows this one, which the client has.
    void startAfter(std::uint64_t lastId);
    /// Starts a run that continues after lastId(); drops a truncated event of the current run.
    void startNextRun();
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

private:
    Result check(std::string_view event);
    /// Moves a byte order mark at the begin of the run to `output`, or drops it in a later run.
    /// Returns false if more bytes are needed to decide whether there is one.
    bool takeByteOrderMark(std::string &output);

    std::string m_incompleteEvent;
    std::optional<std::uint64_t> m_lastId;
    bool m_requiresNextId = false;
    bool m_isRunStart = true;
    bool m_isLaterRun = false;
};

} // namespace jackdawlead::gateway
