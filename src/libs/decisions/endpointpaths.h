#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <optional>

namespace jackdawlead::decisions {

/// Which endpoints this daemon reaches over its own connections, and which only through another
/// daemon. An own connection that fails does not tell whether the endpoint or the path to it has
/// failed; whether another daemon reaches the endpoint does. Thread safety: one thread at a time.
class EndpointPaths
{
public:
    /// The endpoint answered over a new own connection.
    void recordAnswered(const core::EndpointId &id, core::TimePoint now);
    /// Bytes arrived over an own connection to any endpoint.
    void recordActivity(core::TimePoint now) { m_lastActivityAt = now; }
    /// Another daemon reaches the endpoint, to which an own connection failed at `failedAt`.
    void recordReachedByPeer(const core::EndpointId &id, core::TimePoint failedAt,
                             core::TimePoint now);
    /// No other daemon reaches the endpoint either.
    void recordUnreachable(const core::EndpointId &id) { m_interrupted.erase(id); }
    void remove(const core::EndpointId &id) { m_interrupted.erase(id); }

    /// Whether the endpoint is to be reached through another daemon.
    bool isInterrupted(const core::EndpointId &id) const
    {
        return m_isCutOff || m_interrupted.contains(id);
    }
    /// Whether the paths to all endpoints count as interrupted.
    bool isCutOff() const { return m_isCutOff; }
    bool hasInterrupted() const { return m_isCutOff || !m_interrupted.empty(); }
    core::TimePoint lastActivityAt() const { return m_lastActivityAt; }
    /// The interrupted endpoint whose own path was not tried for the longest time; empty if there
    /// is none. While the daemon is cut off, endpoints without a failure of their own count too.
    std::optional<core::EndpointId>
    nextTrial(const std::map<core::EndpointId, core::TimePoint> &lastTrials) const;

    /// Endpoints with an interrupted path, and no contact with any endpoint since the first of
    /// these failures, after which the daemon counts as cut off from all of them.
    static constexpr int cutOffThreshold = 2;

private:
    std::map<core::EndpointId, core::TimePoint> m_interrupted; ///< With the time of the failure.
    core::TimePoint m_lastActivityAt;
    bool m_isCutOff = false;
};

} // namespace jackdawlead::decisions
