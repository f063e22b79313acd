#include "soak/checker.h"

#include "support/process.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include <unistd.h>

using namespace jackdawlead;
using namespace jackdawlead::soak;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::EndpointId endpoint("e-first");

/// A checker that was told of one process, and of routes of versions 1 and 2: `/get/` in both,
/// `/old/` in the first one only and `/new/` in the second one only.
struct CheckerFixture
{
    ProcessLife life {1};
    core::TimePoint now {seconds(100)};
    Checker checker {Bounds {}};

    CheckerFixture()
    {
        checker.processStarted(life, now);
        checker.configured(ConfigurationVersion(1), {"/get/", "/old/"}, {}, now);
        now += seconds(20);
        checker.configured(ConfigurationVersion(2), {"/new/"}, {"/old/"}, now);
    }

    core::RequestId send(const std::string &id, RequestKind kind, const std::string &route)
    {
        checker.sent({core::RequestId(id), kind, route, life, seconds(4), seconds(4)}, now);
        return core::RequestId(id);
    }
    void run(const core::RequestId &id)
    {
        checker.reached(id, endpoint, seconds(4), now);
        checker.ran(id, endpoint);
    }
    void succeed(const core::RequestId &id, const std::string &body)
    {
        checker.ended(id, {200, id.value(), expectedStamp(id, 200), body, true, true}, now);
    }
    void fail(const core::RequestId &id, int status)
    {
        checker.ended(id, {status, {}, {}, {}, true, true}, now);
    }
    /// The connection ends without an answer.
    void cut(const core::RequestId &id) { checker.ended(id, {}, now); }

    void expectNone() const
    {
        for (const Violation &violation : checker.violations())
            cr_assert(false, "%s", violation.what.c_str());
    }
    void expectOnly(Check check) const
    {
        cr_assert_not(checker.violations().empty());
        for (const Violation &violation : checker.violations())
            cr_assert_eq(violation.check, check, "%s", violation.what.c_str());
    }
};

} // namespace

// Guards against a checker that reports what the rules allow.
Test(soakchecker, soundRequestsAreNoViolations)
{
    CheckerFixture fixture;
    const auto plain = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
    fixture.run(plain);
    fixture.succeed(plain, expectedBody(plain));
    const auto repeated = fixture.send("r2", RequestKind::Repeatable, "/get/");
    fixture.run(repeated);
    fixture.checker.brokeOff(repeated);
    fixture.run(repeated);
    fixture.succeed(repeated, expectedBody(repeated));
    const auto refused = fixture.send("r3", RequestKind::Unrepeatable, "/get/");
    fixture.fail(refused, 503);
    const auto stream = fixture.send("r4", RequestKind::SingleStream, "/get/");
    fixture.run(stream);
    fixture.succeed(stream, expectedEvents(stream, 1, eventCount(stream)));
    // The new version may be known or not so soon after it was written.
    const auto old = fixture.send("r5", RequestKind::Repeatable, "/old/");
    fixture.run(old);
    fixture.succeed(old, expectedBody(old));
    fixture.expectNone();
}

// These guard against a soak that passes although a daemon breaks a rule: each plants one fault.
Test(soakchecker, repeatedRunOfAnUnrepeatableRequestIsFound)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
    fixture.run(id);
    fixture.run(id);
    fixture.succeed(id, expectedBody(id));
    fixture.expectOnly(Check::RunOnce);
}

Test(soakchecker, falseNotRunIsFound)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
    fixture.run(id);
    fixture.fail(id, 503);
    fixture.expectOnly(Check::NotRun);
}

Test(soakchecker, runAfterNotRunIsFound)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
    fixture.fail(id, 503);
    fixture.run(id);
    fixture.expectOnly(Check::NotRun);
}

Test(soakchecker, olderConfigurationAfterANewerOneIsFound)
{
    CheckerFixture fixture;
    const auto first = fixture.send("r1", RequestKind::Repeatable, "/new/");
    fixture.run(first);
    fixture.succeed(first, expectedBody(first));
    const auto second = fixture.send("r2", RequestKind::Repeatable, "/old/");
    fixture.run(second);
    fixture.succeed(second, expectedBody(second));
    fixture.expectOnly(Check::ConfigurationOrder);
}

Test(soakchecker, oldConfigurationPastTheBoundIsFound)
{
    CheckerFixture fixture;
    fixture.now += Bounds {}.configuration + milliseconds(100);
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/old/");
    fixture.run(id);
    fixture.succeed(id, expectedBody(id));
    fixture.expectOnly(Check::ConfigurationOrder);
}

Test(soakchecker, refusalOfARouteOfAllVersionsIsFound)
{
    CheckerFixture fixture;
    fixture.fail(fixture.send("r1", RequestKind::Repeatable, "/get/"), 404);
    fixture.expectOnly(Check::ConfigurationOrder);
}

Test(soakchecker, answerToAnotherRequestIsFound)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
    const core::RequestId other("r2");
    fixture.run(id);
    fixture.checker.ended(
        id, {200, other.value(), expectedStamp(other, 200), expectedBody(id), true, true},
        fixture.now);
    fixture.expectOnly(Check::OwnAnswer);
}

Test(soakchecker, partOfAnAnswerThatLooksCompleteIsFound)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
    fixture.run(id);
    fixture.succeed(id, expectedBody(id).substr(0, 10));
    fixture.expectOnly(Check::WholeAnswer);
}

Test(soakchecker, eventThatComesTwiceIsFound)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::ResumableStream, "/get/");
    fixture.run(id);
    fixture.succeed(id, expectedEvents(id, 1, 2) + expectedEvents(id, 2, eventCount(id)));
    fixture.expectOnly(Check::StreamEvents);
}

Test(soakchecker, streamThatEndsEarlyAsCompleteIsFound)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::ResumableStream, "/get/");
    fixture.run(id);
    fixture.succeed(id, expectedEvents(id, 1, eventCount(id) - 1));
    fixture.expectOnly(Check::StreamEvents);
}

Test(soakchecker, requestToAnEndpointLongGoneIsFound)
{
    CheckerFixture fixture;
    fixture.checker.endpointLeft(endpoint, fixture.now);
    fixture.now += Bounds {}.drain + milliseconds(100);
    fixture.run(fixture.send("r1", RequestKind::Repeatable, "/get/"));
    fixture.expectOnly(Check::LeftEndpoint);
}

Test(soakchecker, requestWhoseCallerLeftLongAgoIsFound)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
    fixture.checker.abandoned(id, fixture.now);
    fixture.now += milliseconds(600);
    // Less than the time that the caller had.
    fixture.checker.reached(id, endpoint, seconds(3), fixture.now);
    fixture.expectOnly(Check::LeftCaller);
}

Test(soakchecker, moreTimeThanTheCallerHasLeftIsFound)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
    fixture.now += seconds(1);
    fixture.checker.reached(id, endpoint, seconds(4), fixture.now);
    fixture.expectOnly(Check::Deadline);
}

Test(soakchecker, daemonOutOfTouchIsNotHeldToTheBounds)
{
    CheckerFixture fixture;
    fixture.checker.endpointLeft(endpoint, fixture.now);
    fixture.checker.storeDisturbed(true, fixture.now);
    fixture.now += Bounds {}.drain + milliseconds(100);
    fixture.run(fixture.send("r1", RequestKind::Repeatable, "/old/"));
    fixture.expectNone();
    // Once the store has been calm for the stable window they hold again.
    fixture.checker.storeDisturbed(false, fixture.now);
    fixture.now += Bounds {}.stableWindow + milliseconds(100);
    fixture.run(fixture.send("r2", RequestKind::Repeatable, "/get/"));
    fixture.expectOnly(Check::LeftEndpoint);
}

Test(soakchecker, plannedStopThatCutsARequestIsFound)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
    fixture.run(id);
    fixture.checker.stopAsked(fixture.life, fixture.now);
    fixture.cut(id);
    fixture.expectOnly(Check::PlannedStop);
}

Test(soakchecker, requestThatCrossesTheCloseIsNoViolation)
{
    CheckerFixture fixture;
    fixture.checker.stopAsked(fixture.life, fixture.now);
    fixture.cut(fixture.send("r1", RequestKind::Unrepeatable, "/get/"));
    fixture.expectNone();
}

Test(soakchecker, lateAnswerIsFound)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
    fixture.run(id);
    fixture.now += milliseconds(4600);
    fixture.succeed(id, expectedBody(id));
    fixture.expectOnly(Check::InTime);
}

Test(soakchecker, onlyABegunStreamMayEndWithItsEndpoint)
{
    CheckerFixture fixture;
    const auto begun = fixture.send("r1", RequestKind::SingleStream, "/get/");
    fixture.run(begun);
    fixture.checker.brokeOff(begun);
    fixture.checker.ended(
        begun,
        {200, begun.value(), expectedStamp(begun, 200), expectedEvents(begun, 1, 2), false, true},
        fixture.now);
    fixture.expectNone();
    const auto plain = fixture.send("r2", RequestKind::Unrepeatable, "/get/");
    fixture.run(plain);
    fixture.checker.brokeOff(plain);
    fixture.cut(plain);
    fixture.expectOnly(Check::InTime);
}

Test(soakchecker, refusalOfAProperRequestIsFound)
{
    CheckerFixture fixture;
    fixture.fail(fixture.send("r1", RequestKind::Repeatable, "/get/"), 400);
    fixture.expectOnly(Check::OwnAnswer);
}

Test(soakchecker, cutRequestIsFoundUnlessItsProcessWasKilled)
{
    CheckerFixture fixture;
    const auto cut = fixture.send("r1", RequestKind::Repeatable, "/get/");
    fixture.cut(cut);
    fixture.expectOnly(Check::InTime);
    CheckerFixture killed;
    const auto excused = killed.send("r1", RequestKind::Repeatable, "/get/");
    killed.checker.processKilled(killed.life);
    killed.cut(excused);
    killed.expectNone();
}

Test(soakchecker, orderOfAnEarlierHolderIsFound)
{
    CheckerFixture fixture;
    const core::HostId first("h0");
    const core::HostId second("h1");
    fixture.checker.ordered(endpoint, first, core::FencingToken(1), fixture.now);
    fixture.checker.ordered(endpoint, second, core::FencingToken(2), fixture.now);
    fixture.expectNone();
    fixture.checker.ordered(endpoint, first, core::FencingToken(1), fixture.now);
    fixture.expectOnly(Check::OneHolder);
}

Test(soakchecker, tokenOfTwoHoldersIsFound)
{
    CheckerFixture fixture;
    fixture.checker.ordered(endpoint, core::HostId("h0"), core::FencingToken(1), fixture.now);
    fixture.checker.ordered(endpoint, core::HostId("h1"), core::FencingToken(1), fixture.now);
    fixture.expectOnly(Check::OneHolder);
}

// Guards against daemons being blamed for the time in which the soak itself did not run: answers
// are read before its timer fires. The soak with seed 307 failed for it while a build ran beside.
Test(soakchecker, answerThatWaitedForTheSoakIsNoViolation)
{
    CheckerFixture fixture;
    fixture.checker.alive(fixture.now);
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
    fixture.run(id);
    fixture.now += milliseconds(4600);
    fixture.succeed(id, expectedBody(id));
    fixture.expectNone();
}

Test(soakchecker, processThatEndsByItselfIsFound)
{
    CheckerFixture fixture;
    fixture.checker.processEnded(fixture.life, 139);
    fixture.expectOnly(Check::ProcessUp);
}

// Guards against a daemon being blamed for a stop whose time passed while it was frozen: soaks with
// seeds 6 and 8 failed for it.
Test(soakchecker, graceTimeThatPassedWhileFrozenIsNoViolation)
{
    constexpr int killed = 137;
    CheckerFixture fixture;
    fixture.checker.processFrozen(fixture.life, true, fixture.now);
    fixture.checker.stopAsked(fixture.life, fixture.now);
    fixture.now += seconds(2);
    fixture.checker.processFrozen(fixture.life, false, fixture.now);
    fixture.checker.processEnded(fixture.life, killed);
    fixture.expectNone();
    CheckerFixture other;
    other.checker.stopAsked(other.life, other.now);
    other.checker.processEnded(other.life, killed);
    other.expectOnly(Check::ProcessUp);
}

// Guards against daemons that break a rule under faults that overlap: one short soak with a fixed
// seed. Other seeds are run by scripts/soak.
Test(soak, shortSoakKeepsTheRules, .timeout = 120)
{
    const std::string output = std::filesystem::temp_directory_path()
        / ("jackdawlead-tst_soak-" + std::to_string(getpid()));
    testsupport::Process soak({SOAK, "--seed", "1", "--seconds", "30"}, output);
    const auto code = soak.waitForExit(seconds(100));
    std::ifstream file(output);
    const std::string text {std::istreambuf_iterator<char>(file), {}};
    std::filesystem::remove(output);
    cr_assert(code.has_value(), "no end:\n%s", text.c_str());
    cr_assert_eq(*code, 0, "%s", text.c_str());
}
