#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jackdawlead::gateway {

/// Cuts the bytes of an event stream into whole events and follows their ids, so that a stream can
/// go on at another endpoint without an event missing, doubled or torn.
/// Thread safety: one thread at a time.
class EventFilter
{
public:
    enum class Result { Valid, Broken };

    /// Takes bytes of the present run; whole events are appended to `output`. Broken: an id did not
    /// rise, the first event of a later run is not the next one, or an event does not end.
    Result feed(std::string_view bytes, std::string &output);
    /// The bytes behind the last whole event.
    const std::string &incompleteEvent() const { return m_rest; }
    /// A further run goes on behind lastId(); a torn event of the present one is dropped.
    void startNextRun();
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

private:
    Result check(std::string_view event);

    std::string m_rest;
    std::optional<std::uint64_t> m_lastId;
    bool m_isFirstOfLaterRun = false;
};

} // namespace jackdawlead::gateway
