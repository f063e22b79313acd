#include "serving/crashwatch.h"

#include "serving/enginereport.h"

#include <utility>

namespace jackdawlead::serving {

CrashWatch::CrashWatch(Context &context, QuarantineTask &quarantine, core::EndpointId endpoint,
                       net::Address address)
    : m_context(context)
    , m_quarantine(quarantine)
    , m_endpoint(std::move(endpoint))
    , m_address(std::move(address))
{ }

void CrashWatch::connectionLost(const std::vector<decisions::Fingerprint> &inFlight,
                                std::function<void()> done)
{
    m_inFlight.insert(inFlight.begin(), inFlight.end());
    m_waiting.push_back(std::move(done));
    if (m_waiting.size() == 1)
        probe();
}

void CrashWatch::probe()
{
    const core::Duration timeout = m_context.settings.connectTimeout;
    m_context.http.send(m_address, {.method = "GET", .path = "/metrics", .headers = {}, .body = {}},
                        {timeout, timeout},
                        [this, alive = std::weak_ptr<bool>(m_alive)](const auto &reply) {
                            if (alive.expired())
                                return;
                            if (!reply.ok()) {
                                probed(true);
                                return;
                            }
                            const std::string instance = parseEngineReport(reply->body).instance;
                            const bool isNew = !m_instance.empty() && instance != m_instance;
                            m_instance = instance;
                            probed(isNew);
                        });
}

void CrashWatch::probed(bool hasDied)
{
    const auto inFlight = std::exchange(m_inFlight, {});
    if (hasDied && !inFlight.empty())
        m_quarantine.endpointDied(m_endpoint, {inFlight.begin(), inFlight.end()});
    for (const auto &done : std::exchange(m_waiting, {}))
        done();
}

void CrashWatch::instanceSeen(const std::string &instance,
                              const std::vector<decisions::Fingerprint> &inFlight)
{
    const bool isNew = !m_instance.empty() && instance != m_instance;
    m_instance = instance;
    if (isNew && !inFlight.empty())
        m_quarantine.endpointDied(m_endpoint, inFlight);
}

} // namespace jackdawlead::serving
