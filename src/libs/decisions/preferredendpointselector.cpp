#include "decisions/preferredendpointselector.h"

#include <algorithm>

namespace jackdawlead::decisions {

namespace {

constexpr std::size_t maxHomes = 6;
// A move is forgotten when its adapter was idle for so long that it was probably evicted.
constexpr core::Duration moveLifetime = std::chrono::seconds(60);
// The pressures are up to a second old; a small difference does not pay for a second home.
constexpr double leastGain = 1.1;
constexpr std::size_t maxMoved = 4096;

} // namespace

core::EndpointId
PreferredEndpointSelector::selectPreferred(const core::AdapterVersion &adapter,
                                           const std::vector<PreferredEndpointState> &homes,
                                           bool isHeldAtFirst, core::TimePoint now)
{
    const core::EndpointId &first = homes.front().endpoint;
    if (const auto moved = m_moved.find(adapter); moved != m_moved.end()) {
        const bool isKnown
            = std::ranges::find(homes, moved->second.endpoint, &PreferredEndpointState::endpoint)
            != homes.end();
        if (isKnown && now < moved->second.usedAt + moveLifetime) {
            moved->second.usedAt = now;
            return moved->second.endpoint;
        }
        m_moved.erase(moved);
    }
    if (isHeldAtFirst)
        return first;
    const auto count = static_cast<std::ptrdiff_t>(std::min(homes.size(), maxHomes));
    const auto best = std::min_element(
        homes.begin(), homes.begin() + count,
        [](const PreferredEndpointState &left, const PreferredEndpointState &right) {
            return left.evictionCost < right.evictionCost;
        });
    if (best->evictionCost * leastGain >= homes.front().evictionCost)
        return first;
    if (m_moved.size() >= maxMoved)
        prune(now);
    m_moved.insert_or_assign(adapter, Moved {best->endpoint, now});
    return best->endpoint;
}

void PreferredEndpointSelector::prune(core::TimePoint now)
{
    std::erase_if(m_moved,
                  [now](const auto &entry) { return now >= entry.second.usedAt + moveLifetime; });
    if (m_moved.size() >= maxMoved)
        m_moved.clear();
}

} // namespace jackdawlead::decisions
