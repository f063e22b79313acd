#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace jackdawlead::decisions {

enum class ApiReachability : std::uint8_t { Reachable, Unreachable };

struct OutageLimits
{
    core::Duration maxReportAge = std::chrono::seconds(3);
};

/// One daemon's report on its own calls to the object API.
struct ApiState
{
    ApiReachability report = ApiReachability::Unreachable;
    core::TimePoint reportedAt; ///< Not later than the time at which the daemon sent the report.
    core::TimePoint since;      ///< Not earlier than the start of the uninterrupted state.
};

/// Counts the daemons of a region that report the object API as reachable. A holder with an expired
/// lease may continue to dispatch while a majority reports it as unreachable; a daemon may take
/// over after a majority has reported it as reachable for the whole observation. Any two majorities
/// share a daemon. One report of it may have exceeded the maximum age for one side and not for the
/// other, so the latest reports are not enough: the daemon that takes over also requires an
/// uninterrupted state (ApiState::since) and an observation that is longer by that age, the holder
/// an OutagePermit. Thread safety: one thread at a time.
class OutageDetector
{
public:
    explicit OutageDetector(OutageLimits limits)
        : m_limits(limits)
    { }

    /// Sets the daemons of the region in the host list, this daemon included.
    void setDaemons(std::set<core::HostId> daemons);
    /// Records a state, with times of this daemon's clock. A state older than the known one is
    /// ignored.
    void recordReport(const core::HostId &host, const ApiState &state);
    /// Whether a majority reports the object API as unreachable.
    bool isOutage(core::TimePoint now) const;
    /// Whether at least half of the daemons have reported the object API as reachable without a gap
    /// since `begin`. Half of them share a daemon with every majority, and one of two daemons can
    /// replace the other.
    bool isReachableSince(core::TimePoint begin, core::TimePoint now) const;
    /// The states that are not older than OutageLimits::maxReportAge.
    std::map<core::HostId, ApiState> currentStates(core::TimePoint now) const;

private:
    OutageLimits m_limits;
    std::set<core::HostId> m_daemons;
    std::map<core::HostId, ApiState> m_states;
};

/// Determines whether a holder may dispatch to resident adapters. Once its lease has expired, it
/// may do so only while the outage continues without a gap. After a gap another daemon may have
/// taken over, so that only a renewed lease permits it again. Thread safety: one thread at a time.
class OutagePermit
{
public:
    /// Evaluates the permit. Must be called directly before each dispatch and several times a
    /// second.
    bool evaluate(bool isLeaseValid, bool isOutage, core::TimePoint now);

private:
    bool m_isPermitted = false;
    core::TimePoint m_evaluatedAt;
};

} // namespace jackdawlead::decisions
