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

// Guards against a validity that starts with the response to a renewal instead of its sending.
Test(lease, holderValidityStartsWhenRenewalIsSent)
{
    LeaseHolder holder({});
    holder.recordRenewal(start);
    cr_assert(holder.isValid(after(13)));
    cr_assert_not(holder.isValid(after(14)));
}

// Guards against an expiry before the duration and the guard have passed, or none afterwards.
Test(lease, unchangedRecordExpiresAfterDurationAndGuard)
{
    LeaseObserver observer({});
    for (int second = 0; second < 16; ++second) {
        observer.observe("1", after(second), after(second));
        cr_assert_not(observer.hasExpired(after(second)));
    }
    observer.observe("1", after(16), after(16));
    cr_assert(observer.hasExpired(after(16)));
}

// Guards against a takeover by an observer that was paused and observed none of the renewals.
Test(lease, pausedObserverRestartsObservation)
{
    LeaseObserver observer({});
    observer.observe("1", start, start);
    cr_assert_not(observer.hasExpired(after(60)));
    observer.observe("1", after(60), after(60));
    cr_assert_not(observer.hasExpired(after(60)));
}

// Guards against counting a slow response as proof of the state at the time it arrived.
Test(lease, slowResponseCountsFromItsRequest)
{
    LeaseObserver observer({});
    for (int second = 0; second < 13; ++second)
        observer.observe("1", after(second), after(second));
    observer.observe("1", after(13), after(16));
    cr_assert_not(observer.hasExpired(after(16)));
}

// Guards against a takeover based on an outdated observation.
Test(lease, staleObservationDoesNotExpireLease)
{
    LeaseObserver observer({});
    for (int second = 0; second <= 16; ++second)
        observer.observe("1", after(second), after(second));
    cr_assert_not(observer.hasExpired(after(40)));
}
