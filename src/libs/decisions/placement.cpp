#include "decisions/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawlead::decisions {

double rendezvousScore(const std::string &key, const std::string &node, double weight)
{
    const std::string text = key + "\n" + node;
    const XXH64_hash_t hash = XXH3_64bits(text.data(), text.size());
    // The 53 high bits give a uniform number u in (0, 1); with -weight / ln(u), the share of keys
    // for which a node has the highest score is proportional to its weight.
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0;
    return -weight / std::log(uniform);
}

std::vector<PlacementCandidate> rendezvousOrder(const core::AdapterVersion &adapter,
                                                std::vector<PlacementCandidate> candidates)
{
    const std::string key = adapter.toString();
    std::vector<std::pair<double, std::size_t>> scores;
    scores.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const PlacementCandidate &candidate = candidates[index];
        scores.emplace_back(rendezvousScore(key, candidate.endpoint.value(), candidate.weight),
                            index);
    }
    std::ranges::sort(scores, [&candidates](const auto &left, const auto &right) {
        const PlacementCandidate &a = candidates[left.second];
        const PlacementCandidate &b = candidates[right.second];
        if (a.isHomeRegion != b.isHomeRegion)
            return a.isHomeRegion;
        if (left.first != right.first)
            return left.first > right.first;
        return a.endpoint < b.endpoint;
    });
    std::vector<PlacementCandidate> ordered;
    ordered.reserve(candidates.size());
    for (const auto &[score, index] : scores)
        ordered.push_back(std::move(candidates[index]));
    return ordered;
}

namespace {

double loadBound(const std::vector<PlacementCandidate> &candidates, const PlacementLimits &limits)
{
    double total = 0;
    for (const PlacementCandidate &candidate : candidates)
        total += candidate.outstanding;
    const double mean = candidates.empty() ? 0 : total / static_cast<double>(candidates.size());
    return std::max(mean * limits.boundedLoadFactor, static_cast<double>(limits.boundedLoadFloor));
}

// Moves the candidates over the bound to the end and returns the endpoints.
std::vector<core::EndpointId> withinBoundFirst(std::vector<PlacementCandidate> ordered,
                                               const PlacementLimits &limits)
{
    const double bound = loadBound(ordered, limits);
    std::stable_partition(
        ordered.begin(), ordered.end(),
        [bound](const PlacementCandidate &candidate) { return candidate.outstanding <= bound; });
    std::vector<core::EndpointId> result;
    result.reserve(ordered.size());
    for (const PlacementCandidate &candidate : ordered)
        result.push_back(candidate.endpoint);
    return result;
}

} // namespace

std::vector<core::EndpointId> placementOrder(const core::AdapterVersion &adapter,
                                             const std::vector<PlacementCandidate> &candidates,
                                             std::size_t preferredCount,
                                             const PlacementLimits &limits)
{
    std::vector<PlacementCandidate> ordered = rendezvousOrder(adapter, candidates);
    const auto sharedCount = static_cast<std::ptrdiff_t>(std::min(preferredCount, ordered.size()));
    std::stable_sort(ordered.begin(), ordered.begin() + sharedCount,
                     [](const PlacementCandidate &left, const PlacementCandidate &right) {
                         if (left.isHomeRegion != right.isHomeRegion)
                             return left.isHomeRegion;
                         return left.outstanding < right.outstanding;
                     });
    return withinBoundFirst(std::move(ordered), limits);
}

std::vector<core::EndpointId> placementOrder(const core::AdapterVersion &adapter,
                                             const std::vector<PlacementCandidate> &candidates,
                                             const core::EndpointId &preferredEndpoint,
                                             const PlacementLimits &limits)
{
    std::vector<PlacementCandidate> ordered = rendezvousOrder(adapter, candidates);
    std::stable_partition(ordered.begin(), ordered.end(),
                          [&preferredEndpoint](const PlacementCandidate &candidate) {
                              return candidate.endpoint == preferredEndpoint;
                          });
    return withinBoundFirst(std::move(ordered), limits);
}

} // namespace jackdawlead::decisions
