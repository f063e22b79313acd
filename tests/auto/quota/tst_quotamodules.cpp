#include "quotapolicies.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions::quota;
using jackdawlead::testsupport::simulatedCustomer;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = QuotaAllowance::Verdict;

const core::HostId host {"h1"};
const core::HostId otherHost {"h2"};
constexpr core::TimePoint start {seconds(100)};
constexpr fleet::Quota quota {1000, 10000};
/// Capacity 10,000 + 2,900; refunds of up to 1,450 in 8 s.
constexpr QuotaTolerance tolerance {seconds(8), 0.1, 4000};
constexpr core::FencingToken token {3};

QuotaReport reportOf(const QuotaUse &use, std::uint64_t lastAnswer)
{
    return {fleet::StartTime(1), token, lastAnswer, 0, {{simulatedCustomer, use}}};
}

/// An issuer with one customer, whose bucket is filled for 60 s.
class Issuer : public QuotaIssuer
{
public:
    Issuer()
        : QuotaIssuer(tolerance)
    {
        setQuotas({{simulatedCustomer, quota}}, start - seconds(60));
        issue(host, reportOf({}, 0), false, 1, start);
    }
    QuotaGrant grant(const QuotaUse &use, std::uint64_t lastAnswer, std::uint64_t number,
                     core::TimePoint now)
    {
        return issue(host, reportOf(use, lastAnswer), true, number, now).at(simulatedCustomer);
    }
    double sum() const { return available(simulatedCustomer) + outstanding(simulatedCustomer); }
};

QuotaUse waitingUse(double tokens)
{
    QuotaUse use;
    use.waiting = use.smallestWaiting = tokens;
    return use;
}

QuotaAnswer answerOf(std::uint64_t number, const QuotaGrant &grant, double share = 0)
{
    return {token, number, share, {{simulatedCustomer, grant}}};
}

class Daemon : public QuotaAllowance
{
public:
    Daemon()
        : QuotaAllowance(fleet::StartTime(1))
    {
        setTolerance(tolerance);
        setQuotas({{simulatedCustomer, quota}}, start);
    }
    Verdict spend(double tokens, core::TimePoint now)
    {
        return trySpend(simulatedCustomer, tokens, true, now).verdict;
    }
    QuotaUse use(bool isRegular, core::TimePoint now)
    {
        return takeReport(isRegular, now).uses.at(simulatedCustomer);
    }
};

} // namespace

// Guards against a new coordinator that issues what its predecessor has issued already.
Test(quotamodules, newCoordinatorBeginsEmpty)
{
    QuotaIssuer issuer(tolerance);
    issuer.setQuotas({{simulatedCustomer, quota}}, start);
    const auto grants = issuer.issue(host, reportOf(waitingUse(100), 0), false, 1, start);
    cr_expect_eq(grants.at(simulatedCustomer).tokens, 0);
    cr_expect(grants.at(simulatedCustomer).isExhausted);
    cr_expect_eq(grants.at(simulatedCustomer).fillTime, milliseconds(100));
    Issuer filled;
    filled.reset(start);
    cr_expect_eq(filled.sum(), 0);
}

// Guards against allowances that are refilled before they are reported or have expired.
Test(quotamodules, lostAllowanceCountsAsSpent)
{
    Issuer issuer;
    cr_expect_eq(issuer.grant(waitingUse(12000), 1, 2, start).tokens, 12000);
    issuer.grant({}, 1, 3, start + milliseconds(1499));
    cr_expect_eq(issuer.outstanding(simulatedCustomer), 12000);
    cr_expect_float_eq(issuer.sum(), issuer.capacityOf(quota), 1e-6);
    issuer.grant({}, 1, 4, start + milliseconds(1500));
    cr_expect_eq(issuer.outstanding(simulatedCustomer), 0);
    // The room that the lost tokens took is filled at the rate only.
    issuer.grant({}, 1, 5, start + milliseconds(2500));
    cr_expect_float_eq(issuer.sum(), 1900, 1e-6);
}

// Guards against returned tokens that are credited although they count as spent already, and
// against reports that arrive late or twice.
Test(quotamodules, returnedTokensAreCreditedOnce)
{
    Issuer issuer;
    issuer.grant(waitingUse(6000), 1, 2, start);
    QuotaUse use;
    use.spentTotal = 1000;
    use.returnedTotal = 2000;
    use.held = 3000;
    issuer.grant(use, 2, 3, start);
    cr_expect_float_eq(issuer.available(simulatedCustomer), 6900 + 2000, 1e-6);
    cr_expect_float_eq(issuer.outstanding(simulatedCustomer), 3000, 1e-6);
    issuer.grant(use, 2, 4, start);
    issuer.grant({}, 1, 5, start);
    cr_expect_float_eq(issuer.sum(), 11900, 1e-6);
    // These 3,000 tokens expire before the report that returns them arrives.
    use.returnedTotal = 5000;
    use.held = 0;
    issuer.grant({}, 1, 6, start + milliseconds(1500));
    const double before = issuer.available(simulatedCustomer);
    issuer.grant(use, 5, 7, start + milliseconds(1500));
    cr_expect_float_eq(issuer.available(simulatedCustomer), before, 1e-6);
}

// Guards against a lower limit that old tokens exceed once the allowances have expired.
Test(quotamodules, loweredLimitBindsAfterOneWindow)
{
    Issuer issuer;
    issuer.grant(waitingUse(5000), 1, 2, start);
    const fleet::Quota lowered {100, 1000};
    issuer.setQuotas({{simulatedCustomer, lowered}}, start);
    cr_expect_eq(issuer.available(simulatedCustomer), 0);
    cr_expect_eq(issuer.grant(waitingUse(100), 2, 3, start + seconds(1)).tokens, 0);
    issuer.grant({}, 2, 4, start + seconds(60));
    cr_expect_float_eq(issuer.sum(), issuer.capacityOf(lowered), 1e-6);
    // A customer that is removed and added again does not begin with other tokens.
    issuer.setQuotas({}, start + seconds(61));
    issuer.setQuotas({{simulatedCustomer, quota}}, start + seconds(62));
    cr_expect_float_eq(issuer.sum(), issuer.capacityOf(lowered), 1e-6);
}

// Guards against requests of an earlier window that run again at the cost of a later one.
Test(quotamodules, refundIsBounded)
{
    Issuer issuer;
    issuer.grant(waitingUse(12000), 1, 2, start);
    QuotaUse use;
    use.spentTotal = 12000;
    use.refundedTotal = 1000;
    issuer.grant(use, 2, 3, start);
    cr_expect_float_eq(issuer.available(simulatedCustomer), 1900, 1e-6);
    use.refundedTotal = 12000;
    issuer.grant(use, 3, 4, start);
    cr_expect_float_eq(issuer.available(simulatedCustomer), 900 + 1450, 1e-6);
    use.refundedTotal = 13000;
    issuer.grant(use, 4, 5, start + seconds(8));
    cr_expect_float_eq(issuer.available(simulatedCustomer), 900 + 1450 + 8000 + 1000, 1e-6);
}

// Guards against a request that is never served because no bucket can hold its tokens.
Test(quotamodules, requestLargerThanTheCapacityNeedsAFullBucket)
{
    Issuer issuer;
    cr_expect_eq(issuer.grant(waitingUse(20000), 1, 2, start).tokens, 20000);
    cr_expect_float_eq(issuer.available(simulatedCustomer), -7100, 1e-6);
    QuotaUse use = waitingUse(20000);
    use.spentTotal = 20000;
    cr_expect_eq(issuer.grant(use, 2, 3, start + seconds(10)).tokens, 0);
    cr_expect_eq(issuer.grant(use, 2, 4, start + seconds(22)).tokens, 20000);
}

// Guards against a frozen daemon that spends what the coordinator counts as spent.
Test(quotamodules, allowancesExpireFromTheReportOn)
{
    Daemon daemon;
    daemon.apply(answerOf(1, {1000, false, {}}), start, start + milliseconds(60));
    cr_expect(daemon.spend(400, start + milliseconds(1499)) == Verdict::Granted);
    cr_expect(daemon.spend(400, start + milliseconds(1500)) == Verdict::Wait);
    const QuotaUse use = daemon.use(true, start + milliseconds(1500));
    cr_expect_eq(use.spentTotal, 400);
    cr_expect_eq(use.held, 0);
    // Answers that were overtaken, or are of an earlier coordinator, bring nothing.
    daemon.apply(answerOf(1, {1000, false, {}}), start + seconds(2), start + seconds(2));
    QuotaAnswer earlier = answerOf(9, {1000, false, {}});
    earlier.token = core::FencingToken(2);
    daemon.apply(earlier, start + seconds(2), start + seconds(2));
    cr_expect_eq(daemon.held(simulatedCustomer, start + seconds(2)), 0);
}

// Guards against 429 without a recent answer that says so, and against refusals that come back
// together.
Test(quotamodules, exhaustionEndsSoonAfterTheAnswer)
{
    Daemon daemon;
    cr_expect(daemon.spend(100, start) == Verdict::Unavailable);
    daemon.apply(answerOf(1, {0, true, seconds(2)}), start, start);
    const auto first = daemon.trySpend(simulatedCustomer, 100, true, start);
    const auto second = daemon.trySpend(simulatedCustomer, 100, true, start);
    cr_expect(first.verdict == Verdict::Exhausted);
    cr_expect(first.retryAfter >= seconds(2) && first.retryAfter <= seconds(4));
    cr_expect(first.retryAfter != second.retryAfter);
    cr_expect(daemon.spend(100, start + milliseconds(500)) == Verdict::Wait);
    cr_expect(daemon.spend(100, start + milliseconds(2250)) == Verdict::Unavailable);
}

// Guards against requests that wait and of which the coordinator is not told.
Test(quotamodules, waitingRequestsAreReportedAtOnce)
{
    Daemon daemon;
    daemon.apply(answerOf(1, {}), start, start);
    cr_expect(daemon.isReportDue(), "the first answer is confirmed");
    daemon.takeReport(false, start);
    daemon.spend(700, start);
    daemon.addWaiting(simulatedCustomer, 700);
    daemon.addWaiting(simulatedCustomer, 300);
    cr_expect(daemon.isReportDue());
    const QuotaUse use = daemon.use(false, start);
    cr_expect_eq(use.waiting, 1000);
    cr_expect_eq(use.smallestWaiting, 300);
    cr_expect_not(daemon.isReportDue());
    daemon.recordLostReport();
    cr_expect(daemon.isReportDue());
    daemon.removeWaiting(simulatedCustomer, 700);
    daemon.removeWaiting(simulatedCustomer, 300);
    daemon.takeReport(false, start);
    daemon.recordLostReport();
    cr_expect_not(daemon.isReportDue());
}

// Guards against shares that are used in contact, filled before, or used for longer than the
// coordinator withholds them.
Test(quotamodules, shareFillsAfterTheContactIsLost)
{
    Daemon daemon;
    daemon.apply(answerOf(1, {}, 0.5), start, start);
    const core::TimePoint lost = start + contactTimeout;
    cr_expect(daemon.spend(10, lost - milliseconds(1)) == Verdict::Wait);
    cr_expect(daemon.spend(100, lost) == Verdict::Unavailable);
    cr_expect(daemon.spend(500, lost + seconds(1)) == Verdict::Granted);
    cr_expect(daemon.spend(100, lost + seconds(1)) == Verdict::Unavailable);
    cr_expect(daemon.spend(5000, start + seconds(59)) == Verdict::Granted);
    cr_expect(daemon.spend(100, start + seconds(60)) == Verdict::Unavailable);
}

// Guards against requests that are refused for 2.25 s although the coordinator has stated that it
// issues nothing any more, and against a former coordinator's reply that ends the contact with its
// successor.
Test(quotamodules, shareIsUsedOnceTheCoordinatorHasStopped)
{
    Daemon daemon;
    daemon.apply(answerOf(1, {}, 0.5), start, start);
    const core::TimePoint stopped = start + milliseconds(300);
    daemon.endContact(start - milliseconds(1), stopped);
    cr_expect(daemon.spend(10, stopped) == Verdict::Wait);
    daemon.endContact(start + milliseconds(250), stopped);
    cr_expect(daemon.spend(100, stopped) == Verdict::Unavailable);
    cr_expect(daemon.spend(500, stopped + seconds(1)) == Verdict::Granted);
}

// Guards against tokens that stay at a daemon whose demand has stopped.
Test(quotamodules, unusedTokensAreReturned)
{
    Daemon daemon;
    daemon.apply(answerOf(1, {3000, false, {}}), start, start);
    cr_expect_eq(daemon.use(false, start).held, 3000);
    const QuotaUse use = daemon.use(true, start + milliseconds(10));
    cr_expect_eq(use.held, 0);
    cr_expect_eq(use.returnedTotal, 3000);
}
