#pragma once

#include "daemons.h"
#include "endpoints.h"

#include "support/faultylink.h"
#include "support/storeview.h"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace jackdawlead::soak {

/// Links of some daemons to all endpoints, which are interrupted while the store, the callers and
/// the other daemons stay reachable. Thread safety: the loop's thread only.
class Links
{
public:
    /// Precondition: all arguments outlive this object, except the ports.
    Links(net::EventLoop &loop, net::TimerService &timers, Schedule &schedule, Checker &checker,
          const std::vector<std::uint16_t> &endpointPorts, std::uint16_t storePort, int daemons,
          std::uint64_t seed, FaultCounts &faults);

    /// The port at which each daemon reaches the store.
    const std::vector<std::uint16_t> &storePorts() const { return m_storePorts; }
    bool exist() const { return !m_daemonLinks.empty(); }
    /// Plans one short interruption in the first phase of a series of faults, and one after it that
    /// outlasts the stable window. All of them end before `timeLeft`.
    void startSeries(const Daemons &daemons, core::Duration timeLeft);
    /// While suspended, planned interruptions are left out.
    void setPlanSuspended(bool isSuspended) { m_isPlanSuspended = isSuspended; }
    bool areInterrupted() const { return m_areInterrupted; }
    /// Returns whether there is a daemon whose links can be interrupted. Precondition:
    /// areInterrupted() is false.
    bool interrupt(const Daemons &daemons, core::Duration time);
    std::size_t linkedDaemons() const { return m_daemonLinks.size(); }

private:
    using Fault = testsupport::FaultyLink::Fault;
    using RequestIds = std::set<core::RequestId>;
    struct DaemonLinks
    {
        std::size_t daemon = 0;
        std::vector<std::unique_ptr<testsupport::FaultyLink>> links;
        std::unique_ptr<testsupport::StoreView> store;
        Fault fault = Fault::None;
        /// Requests that any daemon sent over them.
        std::unique_ptr<RequestIds> passed = std::make_unique<RequestIds>();
    };

    void plan(const Daemons &daemons, core::Duration delay, core::Duration time,
              core::Duration timeLeft);
    /// Whether a daemon that keeps its links can send requests for others.
    bool hasPresentPeer(const Daemons &daemons) const;
    void restore();
    static void setFault(DaemonLinks &links, Fault fault);
    static void recordRequests(RequestIds &ids, std::string_view bytes);

    Schedule &m_schedule;
    Checker &m_checker;
    RandomSource m_random;
    FaultCounts &m_faults;
    testsupport::PortPicker m_picker;
    std::vector<std::uint16_t> m_storePorts;
    std::vector<DaemonLinks> m_daemonLinks;
    bool m_areInterrupted = false;
    bool m_isPlanSuspended = false;
};

} // namespace jackdawlead::soak
