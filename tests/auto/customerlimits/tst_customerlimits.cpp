#include "gateway/customers/requestcharge.h"
#include "support/loopwait.h"

#include <criterion/criterion.h>

#include <vector>

using namespace jackdawlead;
using namespace jackdawlead::gateway::customers;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = RequestCharge::Verdict;

const core::CustomerId customer {"c1"};
constexpr core::Duration maxWait = milliseconds(200);

/// A daemon that is itself the coordinator, which the test plays.
struct Fixture
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    http::ControlClient client {loop, timers};
    observability::GatewayMetrics metrics;
    core::HostId host {"h1"};
    std::vector<QuotaCall> calls;
    std::optional<decisions::quota::QuotaGrant> grant; ///< Of each answer.
    bool isAwaitingFirstCoordinator = false;
    int answers = 0;
    CustomerLimits limits {
        host,
        timers,
        client,
        metrics,
        {.findCoordinator = [] { return std::nullopt; },
         .answerLocally = [this](const QuotaCall &call) { return answer(call); },
         .isAwaitingFirstCoordinator = [this] { return isAwaitingFirstCoordinator; },
         .onAnswer = [this] { ++answers; }}};

    void configure(bool hasQuota = true)
    {
        fleet::Configuration configuration;
        fleet::Customer entry;
        entry.name = customer;
        if (hasQuota)
            entry.quota = {1000, 1000};
        configuration.customers = {entry};
        limits.applyConfiguration(configuration, {});
    }
    CustomerLimits::Answer answer(const QuotaCall &call)
    {
        calls.push_back(call);
        if (!grant)
            return std::nullopt;
        decisions::quota::QuotaAnswer answer {core::FencingToken(1), calls.size(), 0, {}};
        if (call.report.uses.contains(customer))
            answer.grants[customer] = *grant;
        return answer;
    }
    void run(core::Duration time) { testsupport::runFor(loop, timers, time); }
    bool hasMetric(const std::string &line) const
    {
        return metrics.render().find(line + "\n") != std::string::npos;
    }
};

} // namespace

// Guards against work and reports in deployments whose customers have no limits.
Test(customerlimits, nothingIsDoneWithoutQuotas)
{
    Fixture fixture;
    fixture.configure(false);
    cr_expect_not(fixture.limits.isLimited(customer));
    cr_expect_not(fixture.limits.takeReport(true).has_value());
    fixture.run(milliseconds(50));
    cr_expect(fixture.calls.empty());
}

// Guards against a call for each request that waits, against requests that go on waiting after the
// answer, and against one that is charged twice or keeps its tokens although it did not run.
Test(customerlimits, requestsThatWaitAreAskedForTogether)
{
    Fixture fixture;
    fixture.grant = decisions::quota::QuotaGrant {900, false, {}};
    fixture.configure();
    fixture.run(milliseconds(50));
    const std::size_t before = fixture.calls.size();
    RequestCharge first(fixture.limits, customer, 500);
    RequestCharge second(fixture.limits, customer, 400);
    cr_assert(first.tryCharge(maxWait, fixture.timers.now()) == Verdict::Wait);
    cr_assert(second.tryCharge(maxWait, fixture.timers.now()) == Verdict::Wait);
    const int answers = fixture.answers;
    cr_assert(testsupport::waitUntil(
        fixture.loop, fixture.timers, [&] { return fixture.answers > answers; }, seconds(1)));
    cr_expect_eq(fixture.calls.size(), before + 1);
    cr_expect_eq(fixture.calls.back().report.uses.at(customer).waiting, 900);
    for (RequestCharge *charge : {&first, &second, &first})
        cr_expect(charge->tryCharge(maxWait, fixture.timers.now()) == Verdict::Granted);
    cr_expect(fixture.hasMetric("jackdawlead_customer_tokens_total{customer=\"c1\"} 900"));
    first.refund();
    first.refund();
    const auto report = fixture.limits.takeReport(true);
    cr_expect_eq(report->uses.at(customer).refundedTotal, 500);
    cr_expect_eq(report->uses.at(customer).spentTotal, 900);
    cr_expect_eq(report->uses.at(customer).waiting, 0);
}

// Guards against requests whose clients left and that still ask for allowances.
Test(customerlimits, endedRequestDoesNotWait)
{
    Fixture fixture;
    fixture.isAwaitingFirstCoordinator = true;
    fixture.configure();
    {
        RequestCharge charge(fixture.limits, customer, 500);
        cr_assert(charge.tryCharge(maxWait, fixture.timers.now()) == Verdict::Wait);
        cr_expect_eq(fixture.limits.takeReport(true)->uses.at(customer).waiting, 500);
    }
    cr_expect_eq(fixture.limits.takeReport(true)->uses[customer].waiting, 0);
}

// Guards against a daemon that floods a coordinator of an earlier release, which answers each call
// with an error, against a request that waits for it for good, and against 429 without an answer.
Test(customerlimits, failedCallsArePaused)
{
    Fixture fixture;
    fixture.isAwaitingFirstCoordinator = true;
    fixture.configure();
    RequestCharge charge(fixture.limits, customer, 500);
    const core::TimePoint begin = fixture.timers.now();
    Verdict verdict = Verdict::Wait;
    while (verdict == Verdict::Wait && fixture.timers.now() - begin < seconds(2)) {
        verdict = charge.tryCharge(maxWait, fixture.timers.now());
        fixture.run(milliseconds(20));
    }
    cr_expect(verdict == Verdict::Unavailable);
    cr_expect_geq((fixture.timers.now() - begin).count(), maxWait.count());
    fixture.run(seconds(1));
    // One call each 250 ms.
    cr_expect_leq(fixture.calls.size(), 6U);
    cr_expect_not(charge.isExhausted());
}

// Guards against requests of a customer over its quota that wait or count before they are refused,
// and against refusals that go on after an answer has become old.
Test(customerlimits, exhaustedQuotaRefusesUntilTheAnswerIsOld)
{
    Fixture fixture;
    fixture.grant = decisions::quota::QuotaGrant {0, true, milliseconds(700)};
    fixture.configure();
    fixture.run(milliseconds(50));
    RequestCharge first(fixture.limits, customer, 500);
    cr_expect_not(first.isExhausted());
    cr_assert(first.tryCharge(maxWait, fixture.timers.now()) == Verdict::Wait);
    const int answers = fixture.answers;
    cr_assert(testsupport::waitUntil(
        fixture.loop, fixture.timers, [&] { return fixture.answers > answers; }, seconds(1)));
    cr_expect(first.tryCharge(maxWait, fixture.timers.now()) == Verdict::Exhausted);
    RequestCharge second(fixture.limits, customer, 500);
    cr_expect(second.isExhausted());
    cr_expect_geq(second.retryAfter().count(), core::Duration(milliseconds(700)).count());
    fixture.run(decisions::quota::exhaustionLifetime);
    cr_expect_not(RequestCharge(fixture.limits, customer, 500).isExhausted());
}

// Guards against requests that are refused because of an answer that the allowance ignores: one of
// a former coordinator, which arrives late.
Test(customerlimits, ignoredAnswerExhaustsNothing)
{
    Fixture fixture;
    fixture.configure();
    cr_assert(fixture.limits.takeReport(true).has_value());
    fixture.limits.applyAnswer(
        decisions::quota::QuotaAnswer {core::FencingToken(2), 1, 0, {{customer, {}}}});
    const decisions::quota::QuotaGrant exhausted {0, true, milliseconds(700)};
    fixture.limits.applyAnswer(
        decisions::quota::QuotaAnswer {core::FencingToken(1), 9, 0, {{customer, exhausted}}});
    cr_expect_not(fixture.limits.isExhausted(customer, 500));
}
