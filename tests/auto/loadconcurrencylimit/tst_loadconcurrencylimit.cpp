#include "decisions/loadconcurrencylimit.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;

/// Simulates demand that always reaches the limit, at a store that slows down in proportion beyond
/// `capacity` concurrent loads.
struct Fixture
{
    LoadConcurrencyLimit limit;
    int capacity;
    core::TimePoint now {std::chrono::seconds(100)};
    int largest = 0;

    /// Simulates a round of loads that start and end together; they are late if they exceed the
    /// margin of 30 ms.
    void simulateRound()
    {
        const int loads = limit.value();
        largest = std::max(largest, loads);
        for (int load = 0; load < loads; ++load)
            limit.recordLoadStart(loads, now);
        const double slowdown = std::max(1.0, static_cast<double>(loads) / capacity);
        const core::Duration loadTime
            = std::chrono::duration_cast<core::Duration>(milliseconds(250) * slowdown);
        now += loadTime;
        if (loadTime > milliseconds(280)) {
            for (int load = 0; load < loads; ++load)
                limit.recordLateLoad(now);
        }
    }

    void simulate(core::Duration span)
    {
        const core::TimePoint end = now + span;
        while (now < end)
            simulateRound();
    }
};

} // namespace

// Guards against a limit of 14 at a store with a capacity of 40: on a quiet day of a deployment of
// 60 endpoints one request in six was refused because no endpoint held its adapter.
Test(loadconcurrencylimit, growsToStoreCapacity)
{
    for (const int capacity : {16, 40, 48}) {
        Fixture fixture {.limit = {}, .capacity = capacity};
        fixture.simulate(std::chrono::seconds(3));
        cr_assert_geq(fixture.limit.value(), capacity * 8 / 10, "store capacity %d", capacity);
        fixture.simulate(std::chrono::seconds(30));
        cr_assert_geq(fixture.limit.value(), capacity * 8 / 10, "store capacity %d", capacity);
        cr_assert_leq(fixture.limit.value(), capacity * 5 / 4, "store capacity %d", capacity);
        cr_assert_leq(fixture.largest, capacity * 3 / 2, "store capacity %d", capacity);
    }
}

// Guards against a limit that rises while few adapters are loaded, and is far too high when demand
// shifts.
Test(loadconcurrencylimit, staysWhileNotReached)
{
    LoadConcurrencyLimit limit;
    for (int load = 0; load < 1000; ++load)
        limit.recordLoadStart(limit.value() - 1, core::TimePoint {});
    cr_assert_eq(limit.value(), LoadConcurrencyLimit::initialValue);
}

// Guards against a limit that one outage, in which every load is late, reduces to zero or keeps
// low: it must recover within ten seconds of loads in time.
Test(loadconcurrencylimit, recoversFromOutage)
{
    Fixture fixture {.limit = {}, .capacity = 40};
    fixture.simulate(std::chrono::seconds(10));
    for (int second = 0; second < 20; ++second) {
        fixture.now += std::chrono::seconds(1);
        fixture.limit.recordLateLoad(fixture.now);
    }
    cr_assert_geq(fixture.limit.value(), LoadConcurrencyLimit::minValue);
    fixture.simulate(std::chrono::seconds(10));
    cr_assert_geq(fixture.limit.value(), 32);
}

// Guards against a limit that is a third of what the store supports at the start of each day and of
// each coordinator: 0.61 and 0.84 of the requests were on time in the first four seconds of a quiet
// day with 117 endpoints.
Test(loadconcurrencylimit, startsWithinStoreCapacity)
{
    struct Store
    {
        double loadsPerSecond;
        int capacity;
    };
    for (const Store store :
         {Store {5.7, 16}, {4.3, 16}, {2.2, 8}, {22, 40}, {29, 48}, {17, 24}, {33, 48}}) {
        Fixture fixture {.limit = {}, .capacity = store.capacity};
        fixture.limit.setStoreRate(store.loadsPerSecond);
        cr_assert_leq(fixture.limit.value(), store.capacity);
        cr_assert_geq(fixture.limit.value(), store.capacity / 2);
        fixture.simulate(std::chrono::seconds(3));
        cr_assert_geq(fixture.limit.value(), store.capacity * 8 / 10);
    }
}

// Guards against a limit that stays at its lower bound because of a few late loads a second while
// all others are in time: 60 of 192 loads a second were ordered, and 100 requests a second refused.
Test(loadconcurrencylimit, fewLateLoadsDoNotLowerLimit)
{
    Fixture fixture {.limit = {}, .capacity = 48};
    fixture.limit.setStoreRate(33);
    for (int round = 0; round < 80; ++round) {
        fixture.simulateRound();
        // One in ten is late, as when orders are executed late.
        for (int late = 0; late < fixture.limit.value() / 10; ++late)
            fixture.limit.recordLateLoad(fixture.now);
    }
    cr_assert_geq(fixture.limit.value(), 48 * 8 / 10);
}

// Guards against loads that appear late for another reason, such as late reports, and reduce the
// limit to a sixth of the capacity of the store.
Test(loadconcurrencylimit, staysNearStoreRateWhileAllLoadsAreLate)
{
    LoadConcurrencyLimit limit;
    limit.setStoreRate(33);
    const int first = limit.value();
    for (int second = 0; second < 60; ++second)
        limit.recordLateLoad(core::TimePoint {} + std::chrono::seconds(second));
    cr_assert_geq(limit.value(), first / 2);
}
