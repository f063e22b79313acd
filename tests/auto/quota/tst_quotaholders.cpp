#include "decisions/quota/quotaholders.h"

#include <criterion/criterion.h>

#include <string>

using namespace jackdawlead;
using namespace jackdawlead::decisions::quota;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint start {seconds(100)};
constexpr core::FencingToken token {3};

/// Holders with daemons that exchange messages with the coordinator.
class Fleet
{
public:
    Fleet() { m_holders.reset({}, token, start); }

    QuotaHolders &holders() { return m_holders; }
    /// A report and the receipt of its answer; with `isAnswerLost` the daemon does not learn of it.
    bool exchange(const std::string &name, core::TimePoint now, bool isAnswerLost = false)
    {
        const core::HostId daemon(name);
        QuotaReport &report = m_reports[daemon];
        const bool isKnown = m_holders.recordReport(daemon, report, now);
        const QuotaAnswer answer = m_holders.makeAnswer(daemon, now);
        if (!isAnswerLost) {
            report.token = answer.token;
            report.lastAnswer = answer.number;
            report.share = answer.share;
        }
        return isKnown;
    }
    core::TimePoint runAll(int count, core::TimePoint from, core::Duration length)
    {
        core::TimePoint now = from;
        for (; now < from + length; now += milliseconds(500)) {
            for (int i = 0; i < count; ++i)
                exchange("h" + std::to_string(i), now);
        }
        return now;
    }
    double share(const std::string &name) { return m_reports[core::HostId(name)].share; }
    void restart(const std::string &name)
    {
        m_reports[core::HostId(name)] = {fleet::StartTime(++m_restarts), {}, 0, 0, {}};
    }

private:
    QuotaHolders m_holders;
    std::map<core::HostId, QuotaReport> m_reports;
    int m_restarts = 0;
};

} // namespace

// Guards against shares that add up to more than the quota while daemons join one by one.
Test(quotaholders, sharesNeverPassOne)
{
    Fleet fleet;
    core::TimePoint now = start;
    for (int count = 1; count <= 20; ++count) {
        now = fleet.runAll(count, now, seconds(count % 3 + 1));
        double sum = 0;
        for (int i = 0; i < count; ++i)
            sum += fleet.share("h" + std::to_string(i));
        cr_expect_leq(sum, 1 + 1e-9, "%d daemons: %.3f", count, sum);
    }
    fleet.runAll(20, now, seconds(20));
    cr_expect_float_eq(fleet.share("h3"), 0.05, 0.011);
}

// Guards against a share in use that a successor does not know of.
Test(quotaholders, sharesAreRecordedBeforeTheyAreTold)
{
    Fleet fleet;
    QuotaHolders::Records earlier;
    for (core::TimePoint now = start; now < start + seconds(20); now += seconds(1)) {
        fleet.runAll(8, now, seconds(1));
        for (int i = 0; i < 8; ++i) {
            const std::string name = "h" + std::to_string(i);
            cr_expect_leq(fleet.share(name), earlier[core::HostId(name)].share + 1e-9);
        }
        earlier = fleet.holders().records();
    }
    cr_expect_eq(earlier.size(), 8);
    cr_expect_gt(fleet.share("h0"), 0);
}

// Guards against a daemon that counts twice because it can send but not receive: it begins its
// share, and the coordinator goes on issuing it.
Test(quotaholders, contactNeedsAConfirmedAnswer)
{
    Fleet fleet;
    core::TimePoint now = fleet.runAll(2, start, seconds(10));
    fleet.exchange("h0", now);
    fleet.exchange("h1", now);
    cr_expect_eq(fleet.holders().withheld(now), 0);
    // The answer of this exchange is lost, so that the one before is the last that is confirmed.
    for (core::Duration passed {}; passed < contactTimeout; passed += milliseconds(250)) {
        cr_expect_eq(fleet.holders().withheld(now + passed), 0);
        fleet.exchange("h0", now + passed, true);
        fleet.exchange("h1", now + passed);
    }
    now += contactTimeout;
    cr_expect_float_eq(fleet.holders().withheld(now), 0.5, 1e-9);
    cr_expect_not(fleet.holders().isInContact(core::HostId("h0"), now));
    fleet.exchange("h0", now);
    cr_expect_gt(fleet.holders().withheld(now), 0);
    fleet.exchange("h0", now + milliseconds(10));
    cr_expect_eq(fleet.holders().withheld(now + milliseconds(10)), 0);
}

// Guards against shares that count twice after the lease had ended for a moment: daemons were told
// that there is no coordinator and began to use them, and the coordinator goes on with its term.
Test(quotaholders, resumedTermNeedsNewAnswers)
{
    Fleet fleet;
    const core::TimePoint now = fleet.runAll(2, start, seconds(10));
    cr_expect_eq(fleet.holders().withheld(now), 0);
    fleet.holders().resume();
    cr_expect_float_eq(fleet.holders().withheld(now), 1, 1e-9);
    // The first report after it confirms an answer of before.
    fleet.exchange("h0", now);
    cr_expect_float_eq(fleet.holders().withheld(now), 1, 1e-9);
    fleet.exchange("h0", now + milliseconds(10));
    cr_expect_float_eq(fleet.holders().withheld(now + milliseconds(10)), 0.5, 1e-9);
}

// Guards against a share that is withheld for ever, or given away while it may be in use.
Test(quotaholders, shareIsReleasedAfterItsLifetime)
{
    Fleet fleet;
    const core::TimePoint now = fleet.runAll(2, start, seconds(10));
    const core::TimePoint last = now - milliseconds(500);
    fleet.holders().removeExpired(last + seconds(59));
    cr_expect_float_eq(fleet.holders().withheld(last + seconds(59)), 1, 1e-9);
    fleet.holders().removeExpired(last + shareLifetime);
    cr_expect_eq(fleet.holders().withheld(last + shareLifetime), 0);
    // A daemon that reports and receives nothing keeps it for no longer, either.
    Fleet oneWay;
    core::TimePoint time = oneWay.runAll(2, start, seconds(10));
    for (const core::TimePoint end = time + seconds(90); time < end; time += milliseconds(250)) {
        oneWay.exchange("h0", time, true);
        oneWay.exchange("h1", time);
    }
    cr_expect_eq(oneWay.holders().withheld(time), 0);
}

// Guards against totals of another process or another coordinator.
Test(quotaholders, totalsOfOthersAreNotKnown)
{
    Fleet fleet;
    cr_expect_not(fleet.exchange("h0", start));
    cr_expect(fleet.exchange("h0", start));
    fleet.runAll(1, start, seconds(10));
    cr_expect_eq(fleet.share("h0"), 1);
    const QuotaHolders::Records records = fleet.holders().records();
    fleet.restart("h0");
    cr_expect_not(fleet.exchange("h0", start + seconds(10)));
    cr_expect_eq(fleet.holders().withheld(start + seconds(10)), 0, "the former process has ended");

    fleet.holders().reset(records, token.next(), start + seconds(20));
    cr_expect_eq(fleet.holders().withheld(start + seconds(20)), 1);
    cr_expect_not(fleet.exchange("h0", start + seconds(20)));
    cr_expect(fleet.exchange("h0", start + seconds(20)));
}
