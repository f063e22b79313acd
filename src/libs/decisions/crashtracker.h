#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/quarantine.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace jackdawlead::decisions {

struct CrashTrackerLimits
{
    /// The platform allows three deaths before a request must be kept away from endpoints.
    std::size_t quarantineThreshold = 3;
    /// A connection that broke this long before its endpoint was found dead broke by its death.
    core::Duration attributionWindow = std::chrono::milliseconds(1500);
    /// Such requests come again within minutes.
    core::Duration retentionTime = std::chrono::minutes(10);
    /// How long a death is told to the other daemons; each of them reports four times a second.
    core::Duration broadcastDuration = std::chrono::seconds(5);
    std::size_t maxEntries = 4096; ///< The oldest go beyond; one needs about 300 bytes.
};

/// One endpoint's death with a request in progress there.
struct CrashReport
{
    Fingerprint fingerprint;
    CrashId death;
};

/// Counts the endpoints that died while they ran a request, over all daemons. A broken connection
/// alone does not count: answers are lost on sound endpoints as well.
/// Thread safety: one thread at a time.
class CrashTracker
{
public:
    explicit CrashTracker(CrashTrackerLimits limits = {})
        : m_limits(limits)
    { }

    /// The connection to the endpoint broke before the request was answered.
    void recordConnectionFailure(const Fingerprint &fingerprint, const core::EndpointId &endpoint,
                                 core::TimePoint now);
    /// The endpoint was found dead; requests whose connections broke just before were running
    /// there.
    void recordCrash(const core::EndpointId &endpoint, const CrashId &death, core::TimePoint now);
    /// Takes a fact, found here or by another daemon.
    void applyUpdate(const CrashReport &fact, core::TimePoint now);
    /// What was learned lately, to be told on.
    std::vector<CrashReport> recentCrashes(core::TimePoint now) const;

    std::size_t crashCount(const Fingerprint &fingerprint, core::TimePoint now) const;
    bool isQuarantined(const Fingerprint &fingerprint, core::TimePoint now) const
    {
        return crashCount(fingerprint, now) >= m_limits.quarantineThreshold;
    }

private:
    struct Broken
    {
        Fingerprint fingerprint;
        core::EndpointId endpoint;
        core::TimePoint at;
    };
    struct Entry
    {
        std::set<CrashId> crashIds;
        core::TimePoint lastAt;
    };
    struct Told
    {
        CrashReport fact;
        core::TimePoint at;
    };
    CrashTrackerLimits m_limits;
    std::deque<Broken> m_broken;
    std::map<Fingerprint, Entry> m_entries;
    std::deque<Told> m_recent;
};

} // namespace jackdawlead::decisions
