#include "router.h"

#include "decisions/placement.h"

#include <algorithm>

namespace jackdawlead::bench {

namespace {

std::size_t leastLoaded(const std::vector<BaselineCandidate> &candidates, std::mt19937_64 &random)
{
    const int minOutstanding
        = std::ranges::min_element(candidates, {}, &BaselineCandidate::outstanding)->outstanding;
    std::vector<std::size_t> ties;
    for (const BaselineCandidate &candidate : candidates)
        if (candidate.outstanding == minOutstanding)
            ties.push_back(candidate.engine);
    return ties[std::uniform_int_distribution<std::size_t>(0, ties.size() - 1)(random)];
}

} // namespace

std::size_t selectBaselineEngine(Policy policy, const core::AdapterVersion &adapter,
                                 const std::vector<BaselineCandidate> &candidates,
                                 std::mt19937_64 &random)
{
    if (policy == Policy::Random)
        return candidates[std::uniform_int_distribution<std::size_t>(0,
                                                                     candidates.size() - 1)(random)]
            .engine;
    if (policy == Policy::ConsistentHash) {
        const auto score = [&adapter](const BaselineCandidate &candidate) {
            return decisions::rendezvousScore(adapter.toString(), candidate.id.value(), 1.0);
        };
        return std::ranges::max_element(candidates, {}, score)->engine;
    }
    if (policy == Policy::ShortestHolder) {
        std::vector<BaselineCandidate> holders;
        std::ranges::copy_if(candidates, std::back_inserter(holders), &BaselineCandidate::isHolder);
        if (!holders.empty())
            return leastLoaded(holders, random);
    }
    return leastLoaded(candidates, random);
}

} // namespace jackdawlead::bench
