#include "decisions/orderlease.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;

constexpr core::TimePoint start {std::chrono::seconds(100)};
const core::HostId self {"host-a"};
const core::HostId other {"host-b"};

core::StorePosition inEra(std::uint64_t era, std::uint64_t revision)
{
    return {core::StoreEra(era), revision};
}

OrderLeaseRecord recordOf(const core::HostId &holder, std::uint64_t token, std::uint64_t revision)
{
    OrderLeaseRecord record;
    record.holder = holder;
    record.token = core::FencingToken(token);
    record.position = inEra(0, revision);
    return record;
}

// Reads an unchanged record until the lease may be taken over, and takes it over. Returns the time.
core::TimePoint takeOver(OrderLease &lease, const OrderLeaseRecord &record)
{
    core::TimePoint now = start;
    while (!lease.shouldWrite(now)) {
        lease.observe(record, now);
        now += milliseconds(100);
        cr_assert_lt(now, start + std::chrono::seconds(30));
    }
    const OrderLeaseRecord proposal = lease.proposal({}, now);
    cr_assert_gt(proposal.token, record.token);
    cr_assert(proposal.position == record.position);
    lease.proposalAccepted(proposal, inEra(0, record.position.revision + 1), now);
    return now;
}

} // namespace

// Guards against a validity that starts with the response to a renewal instead of its sending.
Test(orderlease, validityStartsWhenRenewalIsSent)
{
    OrderLease lease(self, {});
    lease.observe(std::nullopt, start);
    cr_assert(lease.shouldWrite(start));
    lease.proposalAccepted(lease.proposal({}, start), inEra(0, 7), start);
    const OrderLeaseLimits limits;
    cr_assert(lease.canIssueOrders(start + limits.validity - milliseconds(1)));
    cr_assert_not(lease.canIssueOrders(start + limits.validity));
}

// Guards against a takeover from a holder that renews its lease.
Test(orderlease, renewedLeaseIsNotTakenOver)
{
    OrderLease lease(self, {});
    for (int step = 0; step < 50; ++step) {
        const core::TimePoint now = start + step * milliseconds(400);
        lease.observe(recordOf(other, 3, 10 + step), now);
        cr_assert_not(lease.shouldWrite(now));
    }
}

// Guards against orders of two holders within the platform's lease time: the predecessor may have
// issued an order until the end of its validity.
Test(orderlease, successorWaitsForTakeoverDelay)
{
    OrderLease lease(self, {});
    const OrderLeaseLimits limits;
    core::TimePoint now = takeOver(lease, recordOf(other, 3, 10));
    const core::TimePoint lastPossibleOrder = start + limits.validity;
    std::uint64_t revision = 12;
    while (now < lastPossibleOrder + limits.takeoverDelay) {
        cr_assert_not(lease.canIssueOrders(now));
        now += milliseconds(100);
        if (lease.shouldWrite(now))
            lease.proposalAccepted(lease.proposal({}, now), inEra(0, revision++), now);
    }
    now += limits.inFlightMargin + milliseconds(600);
    lease.proposalAccepted(lease.proposal({}, now), inEra(0, revision), now);
    cr_assert(lease.canIssueOrders(now));
}

// Guards against a suspended holder that continues to issue orders after it resumed.
Test(orderlease, suspendedHolderLosesValidity)
{
    OrderLease lease(self, {});
    lease.observe(std::nullopt, start);
    lease.proposalAccepted(lease.proposal({}, start), inEra(0, 7), start);
    cr_assert(lease.canIssueOrders(start + milliseconds(100)));
    cr_assert_not(lease.canIssueOrders(start + std::chrono::seconds(6)));
}

// Guards against a holder that issues orders after another daemon has replaced its record.
Test(orderlease, replacedHolderIssuesNoOrders)
{
    OrderLease lease(self, {});
    lease.observe(std::nullopt, start);
    lease.proposalAccepted(lease.proposal({}, start), inEra(0, 7), start);
    lease.observe(recordOf(other, 2, 9), start + milliseconds(200));
    cr_assert_not(lease.isHolder(start + milliseconds(200)));
    cr_assert_not(lease.canIssueOrders(start + milliseconds(200)));
}

// Guards against a token that two holders use, and against a decreasing one.
Test(orderlease, tokenIncreasesWithEachHolder)
{
    OrderLease lease(self, {});
    takeOver(lease, recordOf(other, 41, 10));
    cr_assert_eq(lease.record()->token.value(), 42U);
}

// Guards against a holder that goes on with the token of its earlier term: after a failed renewal
// it read a copy of its record from before it took the lease over again.
Test(orderlease, outdatedRecordDoesNotBringAnEarlierTokenBack)
{
    OrderLease lease(self, {});
    const OrderLeaseRecord earlier = recordOf(self, 1, 100);
    lease.observe(earlier, start);
    const OrderLeaseRecord proposal = lease.proposal({}, start);
    lease.proposalAccepted(proposal, inEra(0, 1654), start);
    const core::TimePoint readAt = start + milliseconds(600);
    lease.observe(earlier, readAt);
    cr_assert_eq(lease.record()->token, proposal.token);
    cr_assert(lease.isHolder(readAt));
    // Once the lease has ended, a store that does not state its era may have been restored.
    const core::TimePoint afterEnd = start + OrderLeaseLimits().validity;
    lease.observe(earlier, afterEnd);
    cr_assert_eq(lease.record()->token, earlier.token);
}

// Guards against a longer gap than needed after a planned stop: a released lease is taken over at
// once, and the successor waits only for the platform's lease time.
Test(orderlease, releasedLeaseIsTakenOverAtOnce)
{
    OrderLease lease(self, {});
    const OrderLeaseLimits limits;
    OrderLeaseRecord record = recordOf(other, 3, 10);
    record.isReleased = true;
    lease.observe(record, start);
    cr_assert(lease.shouldWrite(start));
    lease.proposalAccepted(lease.proposal({}, start), inEra(0, 11), start);
    cr_assert_not(lease.canIssueOrders(start + milliseconds(500)));
    const core::TimePoint ordersAllowedAt = start + limits.takeoverDelay + limits.inFlightMargin;
    lease.proposalAccepted(lease.proposal({}, ordersAllowedAt), inEra(0, 12), ordersAllowedAt);
    cr_assert(lease.canIssueOrders(ordersAllowedAt));
}

// Guards against a holder that goes on to renew, or takes the lease back, while it cannot reach the
// endpoints.
Test(orderlease, holderThatIsNotEligibleReleasesTheLease)
{
    OrderLease lease(self, {});
    lease.observe(std::nullopt, start);
    lease.proposalAccepted(lease.proposal({}, start), inEra(0, 7), start);
    cr_assert(lease.canIssueOrders(start));
    lease.setEligible(false);
    cr_assert_not(lease.isHolder(start));
    const OrderLeaseRecord released = lease.proposal({}, start);
    cr_assert(released.isReleased);
    lease.proposalAccepted(released, inEra(0, 8), start);
    cr_assert_not(lease.isHolder(start));
    cr_assert_not(lease.shouldWrite(start + std::chrono::seconds(10)));
    lease.setEligible(true);
    cr_assert(lease.shouldWrite(start + std::chrono::seconds(10)));
}

// Guards against a write of the release that is confirmed after the holder is eligible again and
// then counts as a renewal.
Test(orderlease, confirmedReleaseIsNoRenewal)
{
    OrderLease lease(self, {});
    lease.observe(std::nullopt, start);
    lease.proposalAccepted(lease.proposal({}, start), inEra(0, 7), start);
    lease.setEligible(false);
    const OrderLeaseRecord released = lease.proposal({}, start);
    lease.setEligible(true);
    lease.proposalAccepted(released, inEra(0, 8), start);
    cr_assert_not(lease.isHolder(start));
}

// Guards against a daemon that acquires the lease again while it stops.
Test(orderlease, stoppingDaemonDoesNotTakeLease)
{
    OrderLease lease(self, {});
    lease.observe(std::nullopt, start);
    lease.proposalAccepted(lease.proposal({}, start), inEra(0, 7), start);
    lease.release();
    cr_assert_not(lease.canIssueOrders(start + milliseconds(10)));
    cr_assert_not(lease.shouldWrite(start + std::chrono::seconds(5)));
    cr_assert(lease.proposal({}, start).isReleased);
}

// Guards against a small daemon as holder although larger ones are available: on a deployment of 67
// daemons, hardly any order of a holder with 0.12 of a core was answered in time.
Test(orderlease, daemonsWithMoreCoresAcquireFirst)
{
    const auto firstWrite = [](double share) {
        OrderLeaseLimits limits;
        limits.candidacyDelay = candidacyDelay(share);
        OrderLease lease(core::HostId("h"), limits);
        core::TimePoint now {std::chrono::seconds(100)};
        const core::TimePoint begin = now;
        while (!lease.shouldWrite(now)) {
            if ((now - begin) % milliseconds(400) == core::Duration::zero())
                lease.observe(std::nullopt, now);
            now += milliseconds(100);
        }
        return now - begin;
    };
    cr_assert_lt(firstWrite(0.5) + milliseconds(400), firstWrite(0.12));
    cr_assert_leq(firstWrite(0.01), std::chrono::seconds(1) + milliseconds(100));
}

// Guards against a token that two holders use: the copy lacks the last holders, so that their
// tokens would be given out again.
Test(orderlease, tokensAreUniqueOverRestores)
{
    OrderLease before(self, {});
    before.enterEra(core::StoreEra(1), start);
    before.observe(std::nullopt, start);
    const OrderLeaseRecord lost = before.proposal({}, start);
    OrderLease after(other, {});
    after.enterEra(core::StoreEra(2), start);
    after.observe(std::nullopt, start);
    const OrderLeaseRecord created = after.proposal({}, start);
    cr_assert_gt(created.token, lost.token);
    // A holder that replaces the record at a later revision of the same era.
    OrderLeaseRecord restored = recordOf(other, 1, 40);
    restored.position = inEra(2, 40);
    after.observe(restored, start);
    cr_assert_gt(after.proposal({}, start).token, created.token);
}

// Guards against orders of two holders within the platform's lease time: another daemon may have
// held the lost lease until just before the restore.
Test(orderlease, holderOfTheEraBeforeWaits)
{
    const OrderLeaseLimits limits;
    OrderLease lease(self, limits);
    lease.enterEra(core::StoreEra(1), start);
    lease.observe(std::nullopt, start);
    lease.proposalAccepted(lease.proposal({}, start), inEra(1, 7), start);
    cr_assert(lease.canIssueOrders(start + milliseconds(100)));
    core::TimePoint now = start + milliseconds(200);
    lease.enterEra(core::StoreEra(2), now);
    cr_assert_not(lease.isHolder(now));
    OrderLeaseRecord restored = recordOf(self, 1, 5);
    restored.position = inEra(2, 5);
    restored.writtenIn = core::StoreEra(2);
    lease.observe(restored, now);
    const core::TimePoint ordersAllowedAt
        = now + limits.validity + limits.takeoverDelay + limits.inFlightMargin;
    std::uint64_t revision = 6;
    while (now < ordersAllowedAt) {
        if (lease.shouldWrite(now))
            lease.proposalAccepted(lease.proposal({}, now), inEra(2, revision++), now);
        cr_assert_not(lease.canIssueOrders(now));
        now += milliseconds(100);
    }
    lease.proposalAccepted(lease.proposal({}, now), inEra(2, revision++), now);
    cr_assert(lease.canIssueOrders(now));
}

// Guards against a daemon that started after the restore and takes the copy's record of its host
// for its own: the last holder may have been another one.
Test(orderlease, ownRecordOfTheCopyIsTakenOverLikeAnotherOne)
{
    const OrderLeaseLimits limits;
    OrderLease lease(self, limits);
    OrderLeaseRecord restored = recordOf(self, 3, 10);
    restored.position = inEra(2, 10);
    restored.writtenIn = core::StoreEra(1);
    lease.enterEra(core::StoreEra(2), start);
    lease.observe(restored, start);
    cr_assert_not(lease.shouldWrite(start));
    core::TimePoint now = start;
    while (!lease.shouldWrite(now)) {
        now += milliseconds(100);
        lease.observe(restored, now);
    }
    lease.proposalAccepted(lease.proposal({}, now), inEra(2, 11), now);
    cr_assert_not(lease.canIssueOrders(start + limits.validity + limits.takeoverDelay));
}

// Guards against orders at once by a daemon that finds no record, because the copy lacks it.
Test(orderlease, missingRecordIsNoFirstStart)
{
    OrderLeaseLimits limits;
    limits.isFirstStart = false;
    OrderLease lease(self, limits);
    lease.enterEra(core::StoreEra(2), start);
    lease.observe(std::nullopt, start);
    lease.proposalAccepted(lease.proposal({}, start), inEra(2, 7), start);
    cr_assert(lease.isHolder(start));
    cr_assert_not(lease.canIssueOrders(start));
}

// Guards against a successor that counts on a release which the copy holds, although later holders
// were lost with it.
Test(orderlease, releaseOfTheCopyHadSuccessors)
{
    const OrderLeaseLimits limits;
    OrderLease lease(self, limits);
    OrderLeaseRecord released = recordOf(other, 3, 10);
    released.position = inEra(2, 10);
    released.writtenIn = core::StoreEra(1);
    released.isReleased = true;
    lease.enterEra(core::StoreEra(2), start);
    lease.observe(released, start);
    lease.proposalAccepted(lease.proposal({}, start), inEra(2, 11), start);
    const core::TimePoint now = start + limits.takeoverDelay + limits.inFlightMargin;
    lease.proposalAccepted(lease.proposal({}, now), inEra(2, 12), now);
    cr_assert(lease.isHolder(now));
    cr_assert_not(lease.canIssueOrders(now));
}
