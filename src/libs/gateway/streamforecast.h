#pragma once

#include "decisions/streams/endpointspeed.h"
#include "decisions/streams/prefillforecast.h"
#include "decisions/streams/streamchooser.h"
#include "fleet/endpoint.h"
#include "gateway/endpointpool.h"
#include "gateway/peerstreams.h"

#include <map>

namespace jackdawlead::gateway {

/// What this daemon knows about the speed of the endpoints and the prompts at them. Thread safety:
/// the event loop's thread only.
class StreamForecast
{
public:
    using Endpoints = std::map<core::EndpointId, fleet::Endpoint>;

    StreamForecast(const EndpointPool &pool, bool isEnabled)
        : m_pool(pool)
        , m_isEnabled(isEnabled)
    { }

    /// Whether streams on routes with a target gap are placed by predicted gaps.
    bool isEnabled() const { return m_isEnabled; }
    /// Records a pause between two events of a stream of that incarnation of an endpoint.
    void recordPause(const core::EndpointId &id, fleet::StartTime incarnation, core::Duration pause,
                     core::TimePoint now);
    /// Records the first event of a prompt that is still counted as pending.
    void recordFirstEvent(const core::EndpointId &id, fleet::StartTime incarnation,
                          int promptTokens, core::Duration time, core::TimePoint now);
    /// The state for a prediction.
    decisions::streams::EndpointState stateOf(const fleet::Endpoint &endpoint,
                                              core::TimePoint now) const;
    const decisions::streams::EngineTimes &times() const { return m_times; }

    /// What this daemon states in its next report.
    StreamReports makeReports(const Endpoints &endpoints, core::TimePoint now);
    /// Applies the coordinator's view. Precondition: it is of the same endpoints.
    void applyView(const StreamView &view, const Endpoints &endpoints, core::TimePoint now);

private:
    struct Entry
    {
        fleet::StartTime incarnation {};
        decisions::streams::EndpointSpeed speed;
        decisions::streams::PrefillForecast prompts;
        int otherRequests = 0; ///< Of other daemons.
        double share = 0;
        bool isSlow = false; ///< As stated in the log.
    };

    Entry &entryFor(const core::EndpointId &id, fleet::StartTime incarnation);
    double requestsAt(const core::EndpointId &id) const;
    static void logSpeed(const core::EndpointId &id, Entry &entry, core::Duration pause,
                         core::Duration medianPause);

    const EndpointPool &m_pool;
    bool m_isEnabled;
    decisions::streams::EngineTimes m_times;
    std::map<core::EndpointId, Entry> m_entries;
    core::TimePoint m_lastReportAt;
};

} // namespace jackdawlead::gateway
