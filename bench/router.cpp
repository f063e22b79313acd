#include "router.h"

#include "decisions/placement.h"

#include <algorithm>

namespace jackdawlead::bench {

namespace {

std::size_t leastLoaded(const std::vector<BaselineChoice> &choices, std::mt19937_64 &random)
{
    const int least
        = std::ranges::min_element(choices, {}, &BaselineChoice::outstanding)->outstanding;
    std::vector<std::size_t> ties;
    for (const BaselineChoice &choice : choices)
        if (choice.outstanding == least)
            ties.push_back(choice.engine);
    return ties[std::uniform_int_distribution<std::size_t>(0, ties.size() - 1)(random)];
}

} // namespace

std::size_t chooseBaseline(Policy policy, const core::AdapterVersion &adapter,
                           const std::vector<BaselineChoice> &choices, std::mt19937_64 &random)
{
    if (policy == Policy::Random)
        return choices[std::uniform_int_distribution<std::size_t>(0, choices.size() - 1)(random)]
            .engine;
    if (policy == Policy::ConsistentHash) {
        const auto score = [&adapter](const BaselineChoice &choice) {
            return decisions::rendezvousScore(adapter.toString(), choice.id.value(), 1.0);
        };
        return std::ranges::max_element(choices, {}, score)->engine;
    }
    if (policy == Policy::ShortestHolder) {
        std::vector<BaselineChoice> holders;
        std::ranges::copy_if(choices, std::back_inserter(holders), &BaselineChoice::isHolder);
        if (!holders.empty())
            return leastLoaded(holders, random);
    }
    return leastLoaded(choices, random);
}

} // namespace jackdawlead::bench
