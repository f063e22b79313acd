#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "fleet/adapterkey.h"

#include <map>
#include <set>
#include <unordered_map>

namespace jackdawlead::decisions {

/// Requests that wait until an endpoint holds their adapter, apart by whether a load that begins
/// now lets them be answered within their target latency.
struct WaitingCount
{
    int inTime = 0;
    int late = 0;
    core::TimePoint latestStartDeadline; ///< When the last of those in time counts as late.

    bool operator==(const WaitingCount &) const = default;
    void add(const WaitingCount &other);
    /// The same at a later time.
    WaitingCount at(core::TimePoint now) const;
};

using WaitingCounts = std::unordered_map<fleet::AdapterKey, std::map<core::RegionId, WaitingCount>>;

/// The requests of one daemon that wait for adapters. Thread safety: one thread at a time.
class WaitingList
{
public:
    /// A request waits; a load must begin by `startDeadline` for it to be answered in time.
    void add(const fleet::AdapterKey &key, core::TimePoint startDeadline);
    /// Precondition: the same was added before.
    void remove(const fleet::AdapterKey &key, core::TimePoint startDeadline);
    bool contains(const fleet::AdapterKey &key) const { return m_waiting.contains(key); }
    std::unordered_map<fleet::AdapterKey, WaitingCount> counts(core::TimePoint now) const;

private:
    std::unordered_map<fleet::AdapterKey, std::multiset<core::TimePoint>> m_waiting;
};

} // namespace jackdawlead::decisions
