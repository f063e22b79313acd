#include "decisions/loadbudget.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

constexpr core::TimePoint start {std::chrono::seconds(100)};
constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t seeds = 40;

LoadKey load(int owner, int adapter)
{
    return {core::HostId("h" + std::to_string(owner)),
            core::EndpointId("e"),
            {core::AdapterId("a" + std::to_string(adapter)), "1"},
            0};
}

core::TimePoint after(std::int64_t ms)
{
    return start + std::chrono::milliseconds(ms);
}

// Records when loads were granted and checks the rate over every window that starts at a grant.
class GrantLog
{
public:
    void add(std::size_t count, core::TimePoint now)
    {
        m_grants.insert(m_grants.end(), count, now);
    }
    std::size_t size() const { return m_grants.size(); }
    void checkRate(double perSecond, std::size_t burst) const
    {
        for (std::size_t first = 0; first < m_grants.size(); ++first)
            for (std::size_t last = first; last < m_grants.size(); ++last) {
                const double window
                    = std::chrono::duration<double>(m_grants[last] - m_grants[first]).count();
                cr_assert_leq(static_cast<double>(last - first + 1),
                              window * perSecond + static_cast<double>(burst) + 1e-6);
            }
    }

private:
    std::vector<core::TimePoint> m_grants;
};

} // namespace

// Guards against granting loads in the order of their requests instead of their deadlines.
Test(loadbudget, earliestDeadlineIsGrantedFirst)
{
    LoadBudget budget({.loadsPerSecond = 10, .concurrentLoads = 1}, start);
    cr_assert_eq(budget.request(load(1, 1), after(9000), start).size(), 1);
    cr_assert(budget.request(load(1, 2), after(8000), start).empty());
    cr_assert(budget.request(load(2, 3), after(5000), start).empty());
    cr_assert(budget.release(load(1, 1), after(50)).empty());
    const auto granted = budget.tick(after(100));
    cr_assert_eq(granted.size(), 1);
    cr_assert(granted.front() == load(2, 3));
}

// Guards against a grant that is never freed after its owner crashed.
Test(loadbudget, unreleasedGrantExpires)
{
    LoadBudget budget({.concurrentLoads = 1, .grantLifetime = std::chrono::seconds(4)}, start);
    cr_assert_eq(budget.request(load(1, 1), after(9000), start).size(), 1);
    cr_assert(budget.request(load(2, 1), after(9000), after(1)).empty());
    cr_assert(*budget.nextGrantAt() == after(4000));
    cr_assert(budget.tick(after(3999)).empty());
    cr_assert_eq(budget.tick(after(4000)).size(), 1);
}

// Guards against a new holder that grants while loads of its predecessor are in progress.
Test(loadbudget, newHolderGrantsNothingForOneLeaseDuration)
{
    LoadBudget budget({}, after(15000));
    cr_assert(budget.request(load(1, 1), after(20000), start).empty());
    cr_assert(budget.tick(after(14999)).empty());
    cr_assert_eq(budget.tick(after(15000)).size(), 1);
}

// Guards against granting a load after its request was withdrawn or its daemon was removed.
Test(loadbudget, releasedLoadsAreNotGranted)
{
    LoadBudget budget({.loadsPerSecond = 10, .concurrentLoads = 1}, start);
    budget.request(load(1, 1), after(9000), start);
    budget.request(load(2, 1), after(9000), start);
    budget.request(load(3, 1), after(9500), start);
    budget.removeOwner(core::HostId("h2"), start);
    budget.release(load(3, 1), start);
    cr_assert(budget.release(load(1, 1), after(500)).empty());
    cr_assert_eq(budget.waitingCount(), 0);
}

// Guards against exceeding the store's rate: the holder and the daemons that cannot reach it grant
// loads independently of each other.
Test(loadbudget, holderAndUnreachableDaemonsTogetherKeepRate)
{
    constexpr std::size_t daemons = 6;
    const LoadBudgetLimits store {.loadsPerSecond = 6, .concurrentLoads = 2};
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
        std::mt19937_64 random(seed);
        const std::size_t unreachable = random() % daemons;
        std::vector<LoadBudget> budgets;
        budgets.emplace_back(store, start);
        budgets.front().setUnreachableDaemons(unreachable, daemons, start);
        for (std::size_t daemon = 0; daemon < unreachable; ++daemon)
            budgets.emplace_back(fairShare(store, daemons), start);
        GrantLog log;
        std::vector<std::vector<LoadKey>> running(budgets.size());
        int adapter = 0;
        for (std::int64_t ms = 0; ms < 20'000; ms += 10) {
            for (std::size_t index = 0; index < budgets.size(); ++index) {
                std::vector<LoadKey> granted = budgets[index].request(
                    load(static_cast<int>(index), ++adapter),
                    after(ms + static_cast<std::int64_t>(random() % 9000)), after(ms));
                if (!running[index].empty() && random() % 8 == 0) {
                    const auto more = budgets[index].release(running[index].back(), after(ms));
                    running[index].pop_back();
                    granted.insert(granted.end(), more.begin(), more.end());
                }
                running[index].insert(running[index].end(), granted.begin(), granted.end());
                log.add(granted.size(), after(ms));
            }
        }
        cr_assert_gt(log.size(), 60);
        log.checkRate(6, store.concurrentLoads + unreachable);
    }
}

// Guards against more concurrent loads than the store serves at full speed, and against waiting
// requests that are never granted.
Test(loadbudget, concurrencyIsBoundedAndEveryLoadIsGranted)
{
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
        std::mt19937_64 random(seed);
        LoadBudget budget({.loadsPerSecond = 6, .concurrentLoads = 2}, start);
        std::size_t requested = 0;
        std::size_t granted = 0;
        std::vector<LoadKey> running;
        const auto addGranted = [&](const std::vector<LoadKey> &loads) {
            granted += loads.size();
            running.insert(running.end(), loads.begin(), loads.end());
            cr_assert_leq(running.size(), 2);
        };
        for (std::int64_t ms = 0; ms < 60'000; ms += 20) {
            if (!running.empty() && random() % 6 == 0) {
                const LoadKey done = running.front();
                running.erase(running.begin());
                addGranted(budget.release(done, after(ms)));
            }
            if (ms < 10'000 && random() % 10 == 0)
                addGranted(budget.request(load(1, static_cast<int>(requested++)),
                                          after(ms + static_cast<std::int64_t>(random() % 9000)),
                                          after(ms)));
            addGranted(budget.tick(after(ms)));
        }
        cr_assert_eq(granted, requested);
    }
}
