#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <optional>
#include <set>
#include <string>

namespace jackdawlead::gateway::customers {

/// Decides when the coordinator warns of daemons that do not state that they check keys, since they
/// are of an earlier release. Thread safety: one thread at a time.
class CustomerReadiness
{
public:
    /// `lacking` are the hosts of these daemons; empty if the configuration lists no customers.
    /// Returns a warning if one is due: once per change, and not in quick succession.
    std::optional<std::string> update(const std::set<core::HostId> &lacking, core::TimePoint now);

private:
    std::set<core::HostId> m_latest;
    core::TimePoint m_latestSince;
    std::set<core::HostId> m_warnedOf;
    std::optional<core::TimePoint> m_lastWarningAt;
};

} // namespace jackdawlead::gateway::customers
