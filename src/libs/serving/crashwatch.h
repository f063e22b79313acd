#pragma once

#include "serving/context.h"
#include "serving/quarantinetask.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jackdawlead::serving {

/// Tells the death of one endpoint from the loss of a connection: after a connection broke, it
/// probes the endpoint on a new one. The endpoint has died if the probe fails or another instance
/// answers. Thread safety: the loop's thread only.
class CrashWatch
{
public:
    CrashWatch(Context &context, QuarantineTask &quarantine, core::EndpointId endpoint,
               net::Address address);

    /// A connection broke while these requests were in flight; `done` is called after the probe.
    void connectionLost(const std::vector<decisions::Fingerprint> &inFlight,
                        std::function<void()> done);
    /// The endpoint reported this instance while these requests were in flight.
    void instanceSeen(const std::string &instance,
                      const std::vector<decisions::Fingerprint> &inFlight);

private:
    void probe();
    void probed(bool hasDied);

    Context &m_context;
    QuarantineTask &m_quarantine;
    core::EndpointId m_endpoint;
    net::Address m_address;
    std::string m_instance;
    std::set<decisions::Fingerprint> m_inFlight; ///< Since the probe was sent.
    std::vector<std::function<void()>> m_waiting;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::serving
