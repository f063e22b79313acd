#include "decisions/loadconcurrencylimit.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;

/// Demand that always fills the limit, at a store that slows down in proportion beyond `number`.
struct Fixture
{
    LoadConcurrencyLimit limit;
    int number;
    core::TimePoint now {std::chrono::seconds(100)};
    int largest = 0;

    /// One round of loads that begin and end together; late if over the margin of 30 ms.
    void playRound()
    {
        const int loads = limit.value();
        largest = std::max(largest, loads);
        for (int load = 0; load < loads; ++load)
            limit.recordLoadStart(loads, now);
        const double stretch = std::max(1.0, static_cast<double>(loads) / number);
        const core::Duration time
            = std::chrono::duration_cast<core::Duration>(milliseconds(250) * stretch);
        now += time;
        if (time > milliseconds(280)) {
            for (int load = 0; load < loads; ++load)
                limit.recordLateLoad(now);
        }
    }

    void play(core::Duration span)
    {
        const core::TimePoint end = now + span;
        while (now < end)
            playRound();
    }
};

} // namespace

// Guards against a limit of 14 at a store that carries 40: of the requests of a quiet day on a
// deployment of 60 endpoints one in six was refused because no endpoint held its adapter.
Test(loadconcurrencylimit, growsToWhatTheStoreCarries)
{
    for (const int number : {16, 40, 48}) {
        Fixture fixture {.limit = {}, .number = number};
        fixture.play(std::chrono::seconds(3));
        cr_assert_geq(fixture.limit.value(), number * 8 / 10, "store carries %d", number);
        fixture.play(std::chrono::seconds(30));
        cr_assert_geq(fixture.limit.value(), number * 8 / 10, "store carries %d", number);
        cr_assert_leq(fixture.limit.value(), number * 5 / 4, "store carries %d", number);
        cr_assert_leq(fixture.largest, number * 3 / 2, "store carries %d", number);
    }
}

// Guards against a limit that rises while hardly anything is loaded, and is far too high when
// demand moves.
Test(loadconcurrencylimit, staysWhileItIsNotReached)
{
    LoadConcurrencyLimit limit;
    for (int load = 0; load < 1000; ++load)
        limit.recordLoadStart(limit.value() - 1, core::TimePoint {});
    cr_assert_eq(limit.value(), LoadConcurrencyLimit::initialValue);
}

// Guards against a limit that one outage, in which every load is late, drives to zero or keeps
// down: it must be back within ten seconds of loads in time.
Test(loadconcurrencylimit, recoversFromAnOutage)
{
    Fixture fixture {.limit = {}, .number = 40};
    fixture.play(std::chrono::seconds(10));
    for (int second = 0; second < 20; ++second) {
        fixture.now += std::chrono::seconds(1);
        fixture.limit.recordLateLoad(fixture.now);
    }
    cr_assert_geq(fixture.limit.value(), LoadConcurrencyLimit::minValue);
    fixture.play(std::chrono::seconds(10));
    cr_assert_geq(fixture.limit.value(), 32);
}

// Guards against the first seconds of each day, and of each coordinator, with a third of the loads
// that the store carries: 0.61 and 0.84 of the requests were on time in the first four seconds of a
// quiet day before 117 endpoints.
Test(loadconcurrencylimit, startsWithWhatTheStoreIsSureToCarry)
{
    struct Store
    {
        double loadsPerSecond;
        int atOnce;
    };
    for (const Store store :
         {Store {5.7, 16}, {4.3, 16}, {2.2, 8}, {22, 40}, {29, 48}, {17, 24}, {33, 48}}) {
        Fixture fixture {.limit = {}, .number = store.atOnce};
        fixture.limit.setStoreRate(store.loadsPerSecond);
        cr_assert_leq(fixture.limit.value(), store.atOnce);
        cr_assert_geq(fixture.limit.value(), store.atOnce / 2);
        fixture.play(std::chrono::seconds(3));
        cr_assert_geq(fixture.limit.value(), store.atOnce * 8 / 10);
    }
}

// Guards against a limit that a few late loads a second keep at its floor while the store brings
// all others in time: 60 of 192 loads a second were ordered, and 100 requests a second refused.
Test(loadconcurrencylimit, fewLateLoadsDoNotLowerIt)
{
    Fixture fixture {.limit = {}, .number = 48};
    fixture.limit.setStoreRate(33);
    for (int round = 0; round < 80; ++round) {
        fixture.playRound();
        // One in ten, as when orders are carried out late.
        for (int late = 0; late < fixture.limit.value() / 10; ++late)
            fixture.limit.recordLateLoad(fixture.now);
    }
    cr_assert_geq(fixture.limit.value(), 48 * 8 / 10);
}

// Guards against loads that seem late for another reason, such as reports that are, bringing the
// limit down to a sixth of what the store carries.
Test(loadconcurrencylimit, staysNearTheStoreRateWhileAllLoadsSeemLate)
{
    LoadConcurrencyLimit limit;
    limit.setStoreRate(33);
    const int first = limit.value();
    for (int second = 0; second < 60; ++second)
        limit.recordLateLoad(core::TimePoint {} + std::chrono::seconds(second));
    cr_assert_geq(limit.value(), first / 2);
}
