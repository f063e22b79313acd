#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "fleet/endpoint.h"

#include <map>
#include <optional>

namespace jackdawlead::decisions {

/// Services whose endpoints crash when they refuse too many requests in a second. Their endpoints
/// state it in each answer. The limit counts the refusals of all daemons, and no daemon knows those
/// of the others in time, so that each one sends only where it expects a free slot, and keeps after
/// a refusal to the number of requests that the endpoint had accepted. Thread safety: one thread at
/// a time.
class RefusalLimits
{
public:
    /// Records what an answer of an endpoint of the service states.
    void recordAnswer(const core::ServiceId &service,
                      const std::optional<fleet::RequestRate> &limit, core::TimePoint now);
    /// The limit in force for each endpoint of the service; empty if there is none.
    std::optional<fleet::RequestRate> limitOf(const core::ServiceId &service,
                                              core::TimePoint now) const;
    /// The time between two refusals of one daemon with which those of `daemons` daemons stay below
    /// the limit; zero without a limit.
    core::Duration refusalInterval(const core::ServiceId &service, int daemons,
                                   core::TimePoint now) const;
    /// Records that the endpoint refused a request of this daemon while it had `accepted` others.
    void recordRefusal(const core::EndpointId &endpoint, int accepted, core::TimePoint now);
    /// Records that the endpoint accepted a request of this daemon, which has `inProgress` there.
    void recordAcceptance(const core::EndpointId &endpoint, int inProgress,
                          core::Duration refusalInterval, core::TimePoint now);
    /// How many requests the daemon, which has `inProgress` there, may have at the endpoint; empty
    /// if no refusal limits it.
    std::optional<int> maxInProgress(const core::EndpointId &endpoint, int inProgress,
                                     core::Duration refusalInterval, core::TimePoint now) const;
    void removeEndpoint(const core::EndpointId &endpoint) { m_windows.erase(endpoint); }

    /// A statement holds for this long after the last answer that repeats it. Answers without it
    /// end it earlier.
    static constexpr core::Duration validity = std::chrono::seconds(10);
    static constexpr core::Duration minInterval = std::chrono::milliseconds(250);
    static constexpr core::Duration maxInterval = std::chrono::seconds(4);

private:
    struct Statement
    {
        fleet::RequestRate limit;
        core::TimePoint at;
        int answersWithout = 0; ///< Since the last answer that stated it.
    };
    /// The daemon's part of an endpoint's slots since a refusal. It grows by one in each interval
    /// in which it was used, because a refusal may follow.
    struct Window
    {
        int size = 1;
        int mostInProgress = 0; ///< Since it grew last.
        core::TimePoint changedAt;
        core::TimePoint acceptedAt;
    };
    std::map<core::ServiceId, Statement> m_statements;
    std::map<core::EndpointId, Window> m_windows;
};

} // namespace jackdawlead::decisions
