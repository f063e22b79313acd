#include "storemodel.h"

#include <algorithm>

namespace jackdawlead::bench {

namespace {

constexpr core::Duration loadTime = std::chrono::milliseconds(250);
constexpr double inFlightAtFullSpeed = 16;

} // namespace

std::vector<StoreModel::Started> StoreModel::start(core::TimePoint now)
{
    std::vector<Started> started;
    while (canStartLater() && now >= m_nextStartAt) {
        const auto inFlight = static_cast<double>(m_waiting.size() + m_active);
        const double slowdown = std::max(1.0, inFlight / inFlightAtFullSpeed);
        started.push_back({m_waiting.front(),
                           now + std::chrono::duration_cast<core::Duration>(loadTime * slowdown)});
        m_waiting.pop_front();
        ++m_active;
        m_nextStartAt = std::max(m_nextStartAt, now)
            + std::chrono::ceil<core::Duration>(
                            std::chrono::duration<double>(1 / m_loadsPerSecond));
    }
    return started;
}

} // namespace jackdawlead::bench
