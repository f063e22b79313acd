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

} // namespace

// Guards against a reader that counts as connected after a failure, or whose failures, from which
// the delay of the next call follows, are not counted from the last success.
Test(storecontact, failuresCountUntilTheNextSuccess)
{
    StoreContact contact;
    for (int time = 0; time < 5000; time += 500) {
        contact.recordSuccess(at(time));
        cr_assert(contact.isReachable());
        for (int failure = 1; failure <= 3; ++failure) {
            contact.recordFailure();
            cr_assert_not(contact.isReachable());
            cr_assert_eq(contact.failures(), failure);
        }
    }
}

// Guards against state that counts as known up to the end of a wait, or to a failed call.
Test(storecontact, stateIsConfirmedAsOfTheLastAnsweredCall)
{
    StoreContact contact;
    contact.recordSuccess(at(0));
    cr_assert_eq(contact.confirmedAt(), at(0));
    contact.recordFailure();
    cr_assert_not(contact.isReachable());
    cr_assert_eq(contact.confirmedAt(), at(0));
    contact.recordSuccess(at(1000));
    cr_assert(contact.isReachable());
    cr_assert_eq(contact.confirmedAt(), at(1000));
    // A relay may answer from an older state than the one before.
    contact.recordSuccess(at(500));
    cr_assert_eq(contact.confirmedAt(), at(1000));
}

// Guards against announcements that count as younger than they can be: an answer that arrives late
// does not show what changed since it was written.
Test(storecontact, changesAreYoungerThanTheStateBefore)
{
    StoreContact contact;
    contact.recordSuccess(at(2250)); // Read two seconds later.
    contact.recordSuccess(at(4254));
    cr_assert_eq(contact.changedAfter(), at(2250));
    cr_assert_eq(contact.confirmedAt(), at(4254));
}

// Guards against a list of several pages whose objects count as announced since its first page.
Test(storecontact, pagesOfAListDoNotConfirmEachOther)
{
    StoreContact contact;
    contact.recordSuccess(contact.confirmedAt());
    contact.recordSuccess(contact.confirmedAt());
    contact.recordSuccess(at(0));
    cr_assert_eq(contact.changedAfter(), core::TimePoint());
    cr_assert_eq(contact.confirmedAt(), at(0));
}

// Guards against an outage that ends with an answer that was written before it: entries that
// expired in it would count as gone as soon as the store returns.
Test(storecontact, lateAnswerIsNoSignOfAReachableStore)
{
    StoreContact contact;
    contact.recordSuccess(at(0));
    contact.recordFailure();
    contact.recordLateAnswer(at(500));
    cr_assert_not(contact.isReachable());
    cr_assert_eq(contact.failures(), 1);
    cr_assert_eq(contact.changedAfter(), at(0));
    cr_assert_eq(contact.confirmedAt(), at(500));
}
