#include "decisions/storecontact.h"

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
    StoreContact contact {{milliseconds(1200), reappearanceTime}};

    Fixture() { contact.recordSuccess(at(0), at(4)); }
};

} // namespace

// Guards against entries that count as expired because a single call failed: removed endpoints were
// used for 2.2 s longer after each cut watch.
Test(storecontact, shortFailureMakesNoEntryExpire)
{
    Fixture fixture;
    for (int time = 500; time < 5000; time += 500) {
        fixture.contact.recordFailure();
        cr_assert_not(fixture.contact.isReachable());
        fixture.contact.recordSuccess(at(time), at(time + 4));
        cr_assert(fixture.contact.isReachable());
        cr_assert_leq(fixture.contact.reappearanceEnd(), at(time));
    }
}

// Guards against endpoints that are dropped for two seconds after an outage in which they could not
// renew their entries.
Test(storecontact, entriesMayReturnAfterAnOutage)
{
    Fixture fixture;
    for (int failure = 0; failure < 3; ++failure)
        fixture.contact.recordFailure();
    cr_assert_eq(fixture.contact.failures(), 3);
    fixture.contact.recordSuccess(at(3000), at(3004));
    cr_assert_eq(fixture.contact.reappearanceEnd(), at(3004) + reappearanceTime);
    // The next responses don't move the end.
    fixture.contact.recordSuccess(at(4000), at(4004));
    cr_assert_eq(fixture.contact.reappearanceEnd(), at(3004) + reappearanceTime);
}

// Guards against state that counts as known up to the end of a wait, or to a failed call.
Test(storecontact, stateIsConfirmedAsOfTheLastAnsweredCall)
{
    Fixture fixture;
    cr_assert_eq(fixture.contact.confirmedAt(), at(0));
    fixture.contact.recordFailure();
    cr_assert_eq(fixture.contact.confirmedAt(), at(0));
    fixture.contact.recordSuccess(at(1000), at(3250));
    cr_assert_eq(fixture.contact.confirmedAt(), at(1000));
}

// Guards against endpoints that are removed at once because a restored store lacks them.
Test(storecontact, entriesMayReturnAfterARestore)
{
    Fixture fixture;
    fixture.contact.recordRestore(at(10));
    cr_assert_eq(fixture.contact.reappearanceEnd(), at(10) + reappearanceTime);
}

// Guards against announcements that count as younger than they can be: an answer that arrives late
// does not show what changed since it was written.
Test(storecontact, changesAreYoungerThanTheStateBefore)
{
    Fixture fixture;
    fixture.contact.recordSuccess(at(2250), at(4254)); // Written at 2250 and two seconds late.
    fixture.contact.recordSuccess(at(4254), at(4500));
    cr_assert_eq(fixture.contact.changedAfter(), at(2250));
    cr_assert_eq(fixture.contact.confirmedAt(), at(4254));
}

// Guards against a list of several pages whose objects count as announced since its first page.
Test(storecontact, pagesOfAListDoNotConfirmEachOther)
{
    StoreContact contact {{milliseconds(1200), reappearanceTime}};
    contact.recordSuccess(contact.confirmedAt(), at(4));
    contact.recordSuccess(contact.confirmedAt(), at(8));
    contact.recordSuccess(at(0), at(12));
    cr_assert_eq(contact.changedAfter(), core::TimePoint());
    cr_assert_eq(contact.confirmedAt(), at(0));
}
