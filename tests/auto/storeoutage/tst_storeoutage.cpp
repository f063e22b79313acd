#include "decisions/storeoutage.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;

core::TimePoint at(int time)
{
    return core::TimePoint(std::chrono::seconds(100) + milliseconds(time));
}

constexpr core::Duration reappearanceTime = milliseconds(2200);

struct Fixture
{
    StoreOutage outage {{milliseconds(1200), reappearanceTime}};

    Fixture() { outage.recordSuccess(at(4)); }
};

} // namespace

// Guards against entries that count as expired because a single call failed: removed endpoints were
// used for 2.2 s longer after each cut watch.
Test(storeoutage, shortFailureMakesNoEntryExpire)
{
    Fixture fixture;
    for (int time = 500; time < 5000; time += 500) {
        fixture.outage.recordFailure();
        fixture.outage.recordSuccess(at(time));
        cr_assert_leq(fixture.outage.reappearanceEnd(), at(time));
    }
}

// Guards against endpoints that are dropped for two seconds after an outage in which they could not
// renew their entries.
Test(storeoutage, entriesMayReturnAfterAnOutage)
{
    Fixture fixture;
    for (int failure = 0; failure < 3; ++failure)
        fixture.outage.recordFailure();
    fixture.outage.recordSuccess(at(3004));
    cr_assert_eq(fixture.outage.reappearanceEnd(), at(3004) + reappearanceTime);
    // The next responses don't move the end.
    fixture.outage.recordSuccess(at(4004));
    cr_assert_eq(fixture.outage.reappearanceEnd(), at(3004) + reappearanceTime);
}

// Guards against endpoints that are removed at once because a restored store lacks them.
Test(storeoutage, entriesMayReturnAfterARestore)
{
    Fixture fixture;
    fixture.outage.recordRestore(at(10));
    cr_assert_eq(fixture.outage.reappearanceEnd(), at(10) + reappearanceTime);
}

// Guards against a removed endpoint that is used for longer because the calls of one reader fail
// while those of the others succeed.
Test(storeoutage, failuresOfOneReaderAreNoOutage)
{
    Fixture fixture;
    for (int time = 1000; time < 9000; time += 1000) {
        fixture.outage.recordFailure();
        fixture.outage.recordSuccess(at(time)); // Of another reader.
    }
    fixture.outage.recordSuccess(at(9000));
    cr_assert_leq(fixture.outage.reappearanceEnd(), at(0));
}
