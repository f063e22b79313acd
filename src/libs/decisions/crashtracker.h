#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/crashlimits.h"
#include "decisions/quarantine.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace jackdawlead::decisions {

struct CrashTrackerLimits
{
    std::size_t quarantineThreshold = crashesUntilBlocked;
    /// Connection failures within this time before the detection of a crash are attributed to it.
    core::Duration attributionWindow = std::chrono::milliseconds(1500);
    /// Clients resend such requests within minutes.
    core::Duration retentionTime = std::chrono::minutes(10);
    /// How long a crash is sent to the other daemons; each of them reports up to four times a
    /// second (ReportPace).
    core::Duration broadcastDuration = std::chrono::seconds(5);
    std::size_t maxEntries = 4096; ///< The oldest is dropped; one needs about 300 bytes.
};

/// What a request has in common with other requests that may crash endpoints as well.
struct RequestIdentity
{
    Fingerprint fingerprint; ///< The same for each repetition of the request.
    /// The parts of its prompt that other requests may have.
    std::vector<core::PromptPartId> parts;
};

/// A crash and requests that were in progress at the endpoint.
struct CrashEvidence
{
    CrashId crash;
    std::vector<RequestIdentity> requests;
};

/// One crash of an endpoint while a request was in flight there.
struct CrashReport
{
    Fingerprint fingerprint;
    CrashId crash;
};

/// Counts, over all daemons, the endpoint crashes during which a request was in flight. A
/// connection failure alone does not count, because connections to healthy endpoints fail as well.
/// Thread safety: one thread at a time.
class CrashTracker
{
public:
    explicit CrashTracker(CrashTrackerLimits limits = {})
        : m_limits(limits)
    { }

    /// The connection to the endpoint failed before the response was complete.
    void recordConnectionFailure(const RequestIdentity &request, const core::EndpointId &endpoint,
                                 core::TimePoint now);
    /// Records a crash of the endpoint for each request with a connection failure there within the
    /// preceding attributionWindow, and returns these requests. May be called again for the same
    /// crash when further connections fail.
    CrashEvidence recordCrash(const core::EndpointId &endpoint, const CrashId &crash,
                              core::TimePoint now);
    /// Adds a crash that this or another daemon detected.
    void applyUpdate(const CrashReport &report, core::TimePoint now);
    /// Removes a crash that has another cause than the requests themselves.
    void forget(const CrashId &crash);
    /// Crashes recorded within `broadcastDuration`, to be sent to other daemons.
    std::vector<CrashReport> recentCrashes(core::TimePoint now) const;

    std::size_t crashCount(const Fingerprint &fingerprint, core::TimePoint now) const;
    bool isQuarantined(const Fingerprint &fingerprint, core::TimePoint now) const
    {
        return crashCount(fingerprint, now) >= m_limits.quarantineThreshold;
    }

private:
    struct ConnectionFailure
    {
        RequestIdentity request;
        core::EndpointId endpoint;
        core::TimePoint at;
    };
    struct Entry
    {
        std::set<CrashId> crashIds;
        core::TimePoint lastAt;
    };
    struct RecentReport
    {
        CrashReport report;
        core::TimePoint at;
    };
    CrashTrackerLimits m_limits;
    std::deque<ConnectionFailure> m_connectionFailures;
    std::map<Fingerprint, Entry> m_entries;
    std::deque<RecentReport> m_recentReports;
};

} // namespace jackdawlead::decisions
