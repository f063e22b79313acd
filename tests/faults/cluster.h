#pragma once

#include "checker.h"
#include "plan.h"
#include "simapi.h"
#include "simengine.h"
#include "virtualtime.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace jackdawlead::faults {

class SimDaemon;

/// What the daemons of one schedule share: the platform, the engines, and the connections.
struct Cluster
{
    explicit Cluster(std::uint64_t seed)
        : time(seed)
        , api(time)
    { }

    /// Whether the link between the regions carries anything; the object API is in the first.
    bool isLinked() const { return time.now() >= linkOutUntil; }

    VirtualTime time;
    SimApi api;
    Checker checker;
    Mutation mutation = Mutation::None;
    std::map<core::EndpointId, std::unique_ptr<SimEngine>> engines;
    std::map<core::HostId, std::shared_ptr<SimDaemon>> daemons;
    std::set<core::EndpointId> leaving;    ///< As the host list tells it.
    std::set<core::HostId> leavingDaemons; ///< As the host list tells it.
    core::TimePoint linkOutUntil;
    core::TimePoint watchGapUntil;
    int hopsToCut = 0;
    int serviceCallsToCut = 0;
    /// Called whenever a process passes a step; a fault may strike there.
    std::function<void(Step, SimDaemon &, SimEngine *)> passes;
};

} // namespace jackdawlead::faults
