#include "decisions/lease.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

constexpr core::TimePoint start {std::chrono::seconds(100)};

core::TimePoint after(int seconds)
{
    return start + std::chrono::seconds(seconds);
}

} // namespace

// Guards against a holder that counts from the answer instead of from the sending of its renewal.
Test(lease, holderCountsFromSending)
{
    LeaseHolder holder({});
    holder.recordRenewal(start);
    cr_assert(holder.isValid(after(13)));
    cr_assert_not(holder.isValid(after(14)));
}

Test(lease, unchangedRecordLapsesAfterDurationAndGuard)
{
    LeaseObserver observer({});
    for (int second = 0; second < 16; ++second) {
        observer.observe("1", after(second), after(second));
        cr_assert_not(observer.hasExpired(after(second)));
    }
    observer.observe("1", after(16), after(16));
    cr_assert(observer.hasExpired(after(16)));
}

// Guards against a take-over by an observer that was paused and saw none of the renewals.
Test(lease, pausedObserverStartsAgain)
{
    LeaseObserver observer({});
    observer.observe("1", start, start);
    cr_assert_not(observer.hasExpired(after(60)));
    observer.observe("1", after(60), after(60));
    cr_assert_not(observer.hasExpired(after(60)));
}

// Guards against counting a slow answer as proof of the state at the time it arrived.
Test(lease, slowAnswerProvesOnlyTheTimeOfItsReading)
{
    LeaseObserver observer({});
    for (int second = 0; second < 13; ++second)
        observer.observe("1", after(second), after(second));
    observer.observe("1", after(13), after(16));
    cr_assert_not(observer.hasExpired(after(16)));
}

// Guards against a take-over on a proof that is no longer fresh.
Test(lease, oldProofIsNotUsed)
{
    LeaseObserver observer({});
    for (int second = 0; second <= 16; ++second)
        observer.observe("1", after(second), after(second));
    cr_assert_not(observer.hasExpired(after(40)));
}
