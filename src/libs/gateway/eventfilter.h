#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jackdawlead::gateway {

/// Splits the bytes of an event stream into complete events and checks their ids, so that a stream
/// can be resumed at another endpoint without missing, duplicate or truncated events.
/// Thread safety: one thread at a time.
class EventFilter
{
public:
    enum class Result { Valid, Broken };

    /// Parses bytes of the current run and appends complete events to `output`. Broken: an id is
    /// not greater than the one before, the first event of a later run doesn't directly follow the
    /// last one, or an event is too long.
    Result feed(std::string_view bytes, std::string &output);
    /// The bytes after the last complete event.
    const std::string &incompleteEvent() const { return m_incompleteEvent; }
    /// Starts a run that continues after lastId(); drops a truncated event of the current run.
    void startNextRun();
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

private:
    Result check(std::string_view event);

    std::string m_incompleteEvent;
    std::optional<std::uint64_t> m_lastId;
    bool m_requiresNextId = false;
};

} // namespace jackdawlead::gateway
