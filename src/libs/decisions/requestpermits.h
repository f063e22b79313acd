#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace jackdawlead::decisions {

/// The permits that a daemon asks for, for one endpoint.
struct PermitDemand
{
    int waiting = 0;   ///< Requests that wait for a permit now.
    int preferred = 0; ///< Recent requests that used a permit, or would have with one.

    bool operator==(const PermitDemand &) const = default;
};

/// The permits of one daemon to send requests to endpoints with a request limit. The coordinator
/// issues them; without a coordinator each daemon has one permit per `interval`, which is the
/// number of daemons divided by the limit. Permits expire, so that those of many idle daemons
/// cannot be used together later. Thread safety: one thread at a time.
class RequestPermits
{
public:
    /// Longer than the report interval, so that a daemon can use its permits until it gets new
    /// ones.
    static constexpr core::Duration lifetime = std::chrono::seconds(1);

    void addIssued(const core::EndpointId &id, int count, core::TimePoint expiry);
    bool hasIssued(const core::EndpointId &id, core::TimePoint now) const;
    /// Whether the daemon's own permit can be used now. The times of the permits begin at a random
    /// point of the first interval, `draw` in [0, 1), so that daemons don't use them all at once.
    bool hasOwn(const core::EndpointId &id, core::Duration interval, double draw,
                core::TimePoint now);
    /// Precondition: hasIssued() or hasOwn() was true at `now`.
    void take(const core::EndpointId &id, core::Duration interval, core::TimePoint now);

    void addWaiting(const core::EndpointId &id) { ++m_entries[id].demand.waiting; }
    void removeWaiting(const core::EndpointId &id);
    int waiting(const core::EndpointId &id) const;
    /// Records a request that was sent elsewhere, although this endpoint was preferred.
    void recordPreference(const core::EndpointId &id) { ++m_entries[id].demand.preferred; }
    /// Returns the demand that the daemon's unexpired permits do not cover, and resets the
    /// preferences.
    std::map<core::EndpointId, PermitDemand> takeDemand(core::TimePoint now);
    /// Drops permits and preferences, because the limit has ended. Requests may still wait.
    void clear(const core::EndpointId &id);
    /// Number of endpoints with permits or demand.
    std::size_t endpointCount() const { return m_entries.size(); }

private:
    struct Entry
    {
        std::deque<core::TimePoint> issuedUntil; ///< The earliest expiry first.
        PermitDemand demand;
        std::optional<core::TimePoint> nextOwnAt;
    };

    static void removeExpired(Entry &entry, core::TimePoint now);
    static bool isEmpty(const Entry &entry);

    std::map<core::EndpointId, Entry> m_entries;
};

} // namespace jackdawlead::decisions
