#include "decisions/preferredendpointselector.h"

#include <algorithm>

namespace jackdawlead::decisions {

namespace {

constexpr std::size_t maxCandidates = 6;
// An assignment expires when its adapter was idle for so long that it was probably evicted.
constexpr core::Duration assignmentLifetime = std::chrono::seconds(60);
// The eviction costs are up to a second old; a small difference does not justify a second preferred
// endpoint.
constexpr double minCostRatio = 1.1;
constexpr std::size_t maxAssignments = 4096;

} // namespace

core::EndpointId
PreferredEndpointSelector::selectPreferred(const core::AdapterVersion &adapter,
                                           const std::vector<PreferredEndpointState> &candidates,
                                           bool isHeldAtFirst, core::TimePoint now)
{
    const core::EndpointId &first = candidates.front().endpoint;
    if (const auto assignment = m_assignments.find(adapter); assignment != m_assignments.end()) {
        const bool isKnown = std::ranges::find(candidates, assignment->second.endpoint,
                                               &PreferredEndpointState::endpoint)
            != candidates.end();
        if (isKnown && now < assignment->second.usedAt + assignmentLifetime) {
            assignment->second.usedAt = now;
            return assignment->second.endpoint;
        }
        m_assignments.erase(assignment);
    }
    if (isHeldAtFirst)
        return first;
    const auto count = static_cast<std::ptrdiff_t>(std::min(candidates.size(), maxCandidates));
    const auto best = std::min_element(
        candidates.begin(), candidates.begin() + count,
        [](const PreferredEndpointState &left, const PreferredEndpointState &right) {
            return left.evictionCost < right.evictionCost;
        });
    if (best->evictionCost * minCostRatio >= candidates.front().evictionCost)
        return first;
    if (m_assignments.size() >= maxAssignments)
        prune(now);
    m_assignments.insert_or_assign(adapter, Assignment {best->endpoint, now});
    return best->endpoint;
}

void PreferredEndpointSelector::prune(core::TimePoint now)
{
    std::erase_if(m_assignments, [now](const auto &entry) {
        return now >= entry.second.usedAt + assignmentLifetime;
    });
    if (m_assignments.size() >= maxAssignments)
        m_assignments.clear();
}

} // namespace jackdawlead::decisions
