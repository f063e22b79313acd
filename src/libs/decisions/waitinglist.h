#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "fleet/adapterkey.h"

#include <map>
#include <set>
#include <unordered_map>

namespace jackdawlead::decisions {

/// Counts of requests that wait until an endpoint holds their adapter. A request is in time if a
/// load that starts now allows an answer within its target latency, and late otherwise.
struct WaitingCount
{
    int inTime = 0;
    int late = 0;
    core::TimePoint latestStartDeadline; ///< When the last of the requests in time becomes late.

    bool operator==(const WaitingCount &) const = default;
    void add(const WaitingCount &other);
    /// The counts at a later time.
    WaitingCount at(core::TimePoint now) const;
};

using WaitingCounts = std::unordered_map<fleet::AdapterKey, std::map<core::RegionId, WaitingCount>>;

/// The requests of one daemon that wait for adapters. Thread safety: one thread at a time.
class WaitingList
{
public:
    /// Adds a request that can be answered in time if a load starts by `startDeadline`.
    void add(const fleet::AdapterKey &key, core::TimePoint startDeadline);
    /// Precondition: a request with the same arguments was added before.
    void remove(const fleet::AdapterKey &key, core::TimePoint startDeadline);
    bool contains(const fleet::AdapterKey &key) const { return m_waiting.contains(key); }
    std::unordered_map<fleet::AdapterKey, WaitingCount> counts(core::TimePoint now) const;
    /// Adds a request that waits for an endpoint with a certain software version; it is also added
    /// with add().
    void addPinned(const fleet::PinnedAdapter &adapter) { m_pinned.insert(adapter); }
    void removePinned(const fleet::PinnedAdapter &adapter);
    std::set<fleet::PinnedAdapter> pinned() const { return {m_pinned.begin(), m_pinned.end()}; }

private:
    std::unordered_map<fleet::AdapterKey, std::multiset<core::TimePoint>> m_waiting;
    std::multiset<fleet::PinnedAdapter> m_pinned;
};

} // namespace jackdawlead::decisions
