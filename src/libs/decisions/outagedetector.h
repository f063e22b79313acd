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

/// What a daemon says about its own calls to the object API.
struct ApiState
{
    ApiReachability report = ApiReachability::Unreachable;
    core::TimePoint reportedAt; ///< No later than the time at which the daemon said so.
    core::TimePoint since;      ///< No earlier than the time from which it was so without a gap.
};

/// Counts which daemons of a region report the object API as reachable. A holder whose lease lapsed
/// may go on dispatching while a majority reports it unreachable; a daemon may take over after a
/// majority has reported it reachable for the whole observation. Two majorities share a daemon. A
/// single report may be older than the maximum age on one side only, so both sides need more than
/// their latest reports: the taker continuity (ApiState::since) and a wait that is longer by that
/// age, the holder an OutagePermit. Thread safety: one thread at a time.
class OutageDetector
{
public:
    explicit OutageDetector(OutageLimits limits)
        : m_limits(limits)
    { }

    /// The daemons of the region that the host list names, this daemon included.
    void setDaemons(std::set<core::HostId> daemons);
    /// Records a state on this daemon's clock. An older one than the known one is ignored.
    void recordReport(const core::HostId &host, const ApiState &state);
    /// Whether a majority reports the object API as unreachable.
    bool isOutage(core::TimePoint now) const;
    /// Whether at least half report the object API as reachable without a gap since `begin`. Half
    /// is enough to share a daemon with every majority, and lets one of two daemons replace the
    /// other.
    bool isReachableSince(core::TimePoint begin, core::TimePoint now) const;
    /// The states of known daemons that are not too old.
    std::map<core::HostId, ApiState> currentStates(core::TimePoint now) const;

private:
    OutageLimits m_limits;
    std::set<core::HostId> m_daemons;
    std::map<core::HostId, ApiState> m_states;
};

/// Whether a holder may dispatch to resident adapters. Once its lease has lapsed, it may do so only
/// while outage mode holds without a gap; after a gap another daemon may have taken over, so that
/// only a renewed lease permits it again. Thread safety: one thread at a time.
class OutagePermit
{
public:
    /// Evaluates the permit; to be called directly before each dispatch and several times a second.
    bool evaluate(bool isLeaseValid, bool isOutage, core::TimePoint now);

private:
    bool m_isOpen = false;
    core::TimePoint m_evaluatedAt;
};

} // namespace jackdawlead::decisions
