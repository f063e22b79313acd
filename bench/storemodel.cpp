#include "storemodel.h"

#include <algorithm>

namespace jackdawlead::bench {

namespace {

constexpr core::Duration loadTime = std::chrono::milliseconds(250);
constexpr double maxInFlightAtFullSpeed = 16;

} // namespace

std::vector<StoreModel::Started> StoreModel::start(core::TimePoint now)
{
    std::vector<Started> started;
    while (hasStartableLoad() && now >= m_nextStartAt) {
        const auto inFlight = static_cast<double>(m_queue.size() + m_runningLoads);
        const double slowdown = std::max(1.0, inFlight / maxInFlightAtFullSpeed);
        started.push_back({m_queue.front(),
                           now + std::chrono::duration_cast<core::Duration>(loadTime * slowdown)});
        m_queue.pop_front();
        ++m_runningLoads;
        m_nextStartAt = std::max(m_nextStartAt, now)
            + std::chrono::ceil<core::Duration>(
                            std::chrono::duration<double>(1 / m_loadsPerSecond));
    }
    return started;
}

} // namespace jackdawlead::bench
