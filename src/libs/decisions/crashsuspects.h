#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/quarantine.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace jackdawlead::decisions {

struct CrashSuspectLimits
{
    /// The platform allows three deaths before a request must be kept away from endpoints.
    std::size_t deathsOfQuarantine = 3;
    /// A connection that broke this long before its endpoint was found dead broke by its death.
    core::Duration attribution = std::chrono::milliseconds(1500);
    /// Such requests come again within minutes.
    core::Duration memory = std::chrono::minutes(10);
    /// How long a death is told to the other daemons; each of them reports four times a second.
    core::Duration telling = std::chrono::seconds(5);
    std::size_t maxEntries = 4096; ///< The oldest go beyond; one needs about 300 bytes.
};

/// One endpoint's death with a request in progress there.
struct CrashFact
{
    Fingerprint fingerprint;
    DeathId death;
};

/// Counts the endpoints that died while they ran a request, over all daemons. A broken connection
/// alone does not count: answers are lost on sound endpoints as well.
/// Thread safety: one thread at a time.
class CrashSuspects
{
public:
    explicit CrashSuspects(CrashSuspectLimits limits = {})
        : m_limits(limits)
    { }

    /// The connection to the endpoint broke before the request was answered.
    void broke(const Fingerprint &fingerprint, const core::EndpointId &endpoint,
               core::TimePoint now);
    /// The endpoint was found dead; requests whose connections broke just before were running
    /// there.
    void died(const core::EndpointId &endpoint, const DeathId &death, core::TimePoint now);
    /// Takes a fact, found here or by another daemon.
    void told(const CrashFact &fact, core::TimePoint now);
    /// What was learned lately, to be told on.
    std::vector<CrashFact> recent(core::TimePoint now) const;

    std::size_t deaths(const Fingerprint &fingerprint, core::TimePoint now) const;
    bool isQuarantined(const Fingerprint &fingerprint, core::TimePoint now) const
    {
        return deaths(fingerprint, now) >= m_limits.deathsOfQuarantine;
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
        std::set<DeathId> deaths;
        core::TimePoint lastAt;
    };
    struct Told
    {
        CrashFact fact;
        core::TimePoint at;
    };
    CrashSuspectLimits m_limits;
    std::deque<Broken> m_broken;
    std::map<Fingerprint, Entry> m_entries;
    std::deque<Told> m_recent;
};

} // namespace jackdawlead::decisions
