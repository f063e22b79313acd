#include "checkerfixture.h"

#include "support/process.h"

#include <filesystem>
#include <fstream>
#include <iterator>

#include <unistd.h>

using namespace jackdawlead;
using namespace jackdawlead::soak;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a checker that reports permitted behaviour as a violation.
Test(soakchecker, validRequestsCauseNoViolation)
{
    CheckerFixture fixture;
    const auto plain = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
    fixture.run(plain);
    fixture.succeed(plain, expectedBody(plain));
    const auto repeated = fixture.send("r2", RequestKind::Repeatable, "/get/");
    fixture.run(repeated);
    fixture.checker.answerInterrupted(repeated, endpoint);
    fixture.run(repeated);
    fixture.succeed(repeated, expectedBody(repeated));
    const auto refused = fixture.send("r3", RequestKind::Unrepeatable, "/get/");
    fixture.fail(refused, 503);
    const auto stream = fixture.send("r4", RequestKind::SingleStream, "/get/");
    fixture.run(stream);
    fixture.succeed(stream, expectedEvents(stream, 1, eventCount(stream)));
    // Shortly after the new version was written, the daemon may use either version.
    const auto old = fixture.send("r5", RequestKind::Repeatable, "/old/");
    fixture.run(old);
    fixture.succeed(old, expectedBody(old));
    fixture.expectNoViolation();
}

// Unless they have a comment of their own, the tests from here on guard against a soak that passes
// although a daemon breaks a rule: each injects one violation.
Test(soakchecker, secondRunOfUnrepeatableRequestIsDetected)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
    fixture.run(id);
    fixture.run(id);
    fixture.succeed(id, expectedBody(id));
    fixture.expectOnlyViolationsOf(Check::RunOnce);
}

Test(soakchecker, notRunAnswerAfterRunIsDetected)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
    fixture.run(id);
    fixture.fail(id, 503);
    fixture.expectViolationsOf({Check::NotRun, Check::LostAnswer});
}

Test(soakchecker, runAfterNotRunAnswerIsDetected)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
    fixture.fail(id, 503);
    fixture.run(id);
    fixture.expectOnlyViolationsOf(Check::NotRun);
}

Test(soakchecker, returnToOlderConfigurationIsDetected)
{
    CheckerFixture fixture;
    const auto first = fixture.send("r1", RequestKind::Repeatable, "/new/");
    fixture.run(first);
    fixture.succeed(first, expectedBody(first));
    const auto second = fixture.send("r2", RequestKind::Repeatable, "/old/");
    fixture.run(second);
    fixture.succeed(second, expectedBody(second));
    fixture.expectOnlyViolationsOf(Check::ConfigurationOrder);
}

Test(soakchecker, oldConfigurationPastBoundIsDetected)
{
    CheckerFixture fixture;
    fixture.now += Bounds {}.configuration + milliseconds(100);
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/old/");
    fixture.run(id);
    fixture.succeed(id, expectedBody(id));
    fixture.expectOnlyViolationsOf(Check::ConfigurationOrder);
}

Test(soakchecker, notFoundForPermanentRouteIsDetected)
{
    CheckerFixture fixture;
    fixture.fail(fixture.send("r1", RequestKind::Repeatable, "/get/"), 404);
    fixture.expectOnlyViolationsOf(Check::ConfigurationOrder);
}

Test(soakchecker, answerToOtherRequestIsDetected)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
    const core::RequestId other("r2");
    fixture.run(id);
    fixture.checker.requestEnded(
        id, {200, other.value(), expectedStamp(other, 200), expectedBody(id), true, true},
        fixture.now);
    fixture.expectOnlyViolationsOf(Check::OwnAnswer);
}

Test(soakchecker, truncatedBodyInCompleteAnswerIsDetected)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
    fixture.run(id);
    fixture.succeed(id, expectedBody(id).substr(0, 10));
    fixture.expectOnlyViolationsOf(Check::WholeAnswer);
}

Test(soakchecker, duplicateEventIsDetected)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::ResumableStream, "/get/");
    fixture.run(id);
    fixture.succeed(id, expectedEvents(id, 1, 2) + expectedEvents(id, 2, eventCount(id)));
    fixture.expectOnlyViolationsOf(Check::StreamEvents);
}

Test(soakchecker, missingLastEventInCompleteStreamIsDetected)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::ResumableStream, "/get/");
    fixture.run(id);
    fixture.succeed(id, expectedEvents(id, 1, eventCount(id) - 1));
    fixture.expectOnlyViolationsOf(Check::StreamEvents);
}

Test(soakchecker, streamOfTwoSoftwareVersionsIsDetected)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::ResumableStream, "/get/");
    fixture.run(id);
    fixture.succeed(id,
                    expectedEvents(id, 1, 2, "v1") + expectedEvents(id, 3, eventCount(id), "v2"));
    fixture.expectOnlyViolationsOf(Check::StreamEvents);
}

Test(soakchecker, takeUpAtAnotherSoftwareVersionIsDetected)
{
    for (const std::string version : {"v1", "v2"}) {
        CheckerFixture fixture;
        const core::RequestId begun("r1");
        const core::RequestId again("r2");
        fixture.checker.requestSent({again, RequestKind::ResumableStream, "/get/",
                                     fixture.incarnation, seconds(4), seconds(4), begun, 3, "v1"},
                                    fixture.now);
        fixture.run(again);
        fixture.succeed(again, expectedEvents(begun, 3, eventCount(begun), version));
        if (version == "v1")
            fixture.expectNoViolation();
        else
            fixture.expectOnlyViolationsOf(Check::TakeUp);
    }
}

Test(soakchecker, requestToLeavingEndpointPastBoundIsDetected)
{
    CheckerFixture fixture;
    fixture.checker.endpointLeaving(endpoint, fixture.now);
    fixture.now += Bounds {}.drain + milliseconds(100);
    fixture.run(fixture.send("r1", RequestKind::Repeatable, "/get/"));
    fixture.expectOnlyViolationsOf(Check::LeftEndpoint);
}

// Guards against a violation that is reported although the store was not stable when it
// acknowledged the removal, so that daemons let the endpoint time to return, and against a removal
// that is never checked for this reason.
Test(soakchecker, removalAfterAnOutageCountsFromTheStableStore)
{
    CheckerFixture fixture;
    fixture.now += seconds(20);
    fixture.checker.storeDisturbed(true, fixture.now);
    fixture.checker.storeDisturbed(false, fixture.now);
    fixture.now += milliseconds(300);
    fixture.checker.endpointLeaving(endpoint, fixture.now);
    fixture.now += milliseconds(6600);
    fixture.run(fixture.send("r1", RequestKind::Repeatable, "/get/"));
    fixture.expectNoViolation();
    fixture.now += milliseconds(200);
    fixture.run(fixture.send("r2", RequestKind::Repeatable, "/get/"));
    fixture.expectOnlyViolationsOf(Check::LeftEndpoint);
}

Test(soakchecker, requestOfDisconnectedCallerIsDetected)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
    fixture.checker.requestAbandoned(id, fixture.now);
    fixture.now += milliseconds(600);
    // Within the time left to the caller, so that only the rule for disconnected callers applies.
    fixture.checker.requestReceived(id, endpoint, seconds(3), fixture.now);
    fixture.expectOnlyViolationsOf(Check::LeftCaller);
}

Test(soakchecker, deadlineBeyondTimeLeftToCallerIsDetected)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
    fixture.now += seconds(1);
    fixture.checker.requestReceived(id, endpoint, seconds(4), fixture.now);
    fixture.expectOnlyViolationsOf(Check::Deadline);
}

// Guards against violations of time bounds that are reported while the store is disturbed, and
// against bounds that are no longer checked afterwards.
Test(soakchecker, disturbedDaemonIsExemptFromBounds)
{
    CheckerFixture fixture;
    fixture.checker.endpointLeaving(endpoint, fixture.now);
    fixture.checker.storeDisturbed(true, fixture.now);
    fixture.now += Bounds {}.drain + milliseconds(100);
    fixture.run(fixture.send("r1", RequestKind::Repeatable, "/old/"));
    fixture.expectNoViolation();
    // The bounds apply again after the store has been undisturbed for the stable window.
    fixture.checker.storeDisturbed(false, fixture.now);
    fixture.now += Bounds {}.stableWindow + milliseconds(100);
    fixture.run(fixture.send("r2", RequestKind::Repeatable, "/get/"));
    fixture.expectOnlyViolationsOf(Check::LeftEndpoint);
}

Test(soakchecker, requestCutOffByPlannedStopIsDetected)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
    fixture.run(id);
    fixture.checker.stopRequested(fixture.incarnation, fixture.now);
    fixture.endWithoutAnswer(id);
    fixture.expectViolationsOf({Check::PlannedStop, Check::LostAnswer});
}

// Guards against a violation that is reported because a stopping daemon closed a connection before
// it read the request on it.
Test(soakchecker, requestCrossingCloseIsNoViolation)
{
    CheckerFixture fixture;
    fixture.checker.stopRequested(fixture.incarnation, fixture.now);
    fixture.endWithoutAnswer(fixture.send("r1", RequestKind::Unrepeatable, "/get/"));
    fixture.expectNoViolation();
}

Test(soakchecker, lateAnswerIsDetected)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
    fixture.run(id);
    fixture.now += milliseconds(4600);
    fixture.succeed(id, expectedBody(id));
    fixture.expectOnlyViolationsOf(Check::InTime);
}

// Guards against a violation that is reported because the endpoint interrupted a stream of which
// the head was sent, and against accepting that another request gets no answer.
Test(soakchecker, onlyStartedStreamMayEndWithItsEndpoint)
{
    CheckerFixture fixture;
    const auto begun = fixture.send("r1", RequestKind::SingleStream, "/get/");
    fixture.run(begun);
    fixture.checker.answerInterrupted(begun, endpoint);
    fixture.checker.requestEnded(
        begun,
        {200, begun.value(), expectedStamp(begun, 200), expectedEvents(begun, 1, 2), false, true},
        fixture.now);
    fixture.expectNoViolation();
    const auto plain = fixture.send("r2", RequestKind::Unrepeatable, "/get/");
    fixture.run(plain);
    fixture.checker.answerInterrupted(plain, endpoint);
    fixture.endWithoutAnswer(plain);
    fixture.expectOnlyViolationsOf(Check::InTime);
}

Test(soakchecker, refusalOfValidRequestIsDetected)
{
    CheckerFixture fixture;
    fixture.fail(fixture.send("r1", RequestKind::Repeatable, "/get/"), 400);
    fixture.expectOnlyViolationsOf(Check::OwnAnswer);
}

// Guards against accepting a request that a running process leaves unanswered, and against
// reporting one of a process that the soak killed.
Test(soakchecker, requestCutOffIsDetectedUnlessProcessWasKilled)
{
    CheckerFixture fixture;
    const auto cut = fixture.send("r1", RequestKind::Repeatable, "/get/");
    fixture.endWithoutAnswer(cut);
    fixture.expectOnlyViolationsOf(Check::InTime);
    CheckerFixture killed;
    const auto excused = killed.send("r1", RequestKind::Repeatable, "/get/");
    killed.checker.processKilled(killed.incarnation, killed.now);
    killed.endWithoutAnswer(excused);
    killed.expectNoViolation();
}

Test(soakchecker, orderOfFormerHolderIsDetected)
{
    CheckerFixture fixture;
    const core::HostId first("h0");
    const core::HostId second("h1");
    fixture.checker.orderReceived(endpoint, first, core::FencingToken(1), fixture.now);
    fixture.checker.orderReceived(endpoint, second, core::FencingToken(2), fixture.now);
    fixture.expectNoViolation();
    fixture.checker.orderReceived(endpoint, first, core::FencingToken(1), fixture.now);
    fixture.expectOnlyViolationsOf(Check::OneHolder);
}

Test(soakchecker, tokenOfTwoHoldersIsDetected)
{
    CheckerFixture fixture;
    fixture.checker.orderReceived(endpoint, core::HostId("h0"), core::FencingToken(1), fixture.now);
    fixture.checker.orderReceived(endpoint, core::HostId("h1"), core::FencingToken(1), fixture.now);
    fixture.expectOnlyViolationsOf(Check::OneHolder);
}

// Guards against violations that are reported because the soak itself was blocked: waiting answers
// are read before its heartbeat timer fires. The soak with seed 307 failed for this reason during a
// concurrent build.
Test(soakchecker, answerReadLateByBlockedSoakIsNoViolation)
{
    CheckerFixture fixture;
    fixture.checker.recordHeartbeat(fixture.now);
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
    fixture.run(id);
    fixture.now += milliseconds(4600);
    fixture.succeed(id, expectedBody(id));
    fixture.expectNoViolation();
}

Test(soakchecker, unexpectedProcessExitIsDetected)
{
    CheckerFixture fixture;
    fixture.checker.processEnded(fixture.incarnation, 139);
    fixture.expectOnlyViolationsOf(Check::ProcessUp);
}

// Guards against a checker that misses a request limit which daemons exceed together, or counts
// requests of daemons that have not received the limit.
Test(soakchecker, exceededRequestLimitIsDetected)
{
    CheckerFixture fixture;
    const ProcessIncarnation other {2};
    fixture.checker.processStarted(other, fixture.now);
    fixture.now += seconds(10);
    fixture.checker.endpointLimited(endpoint, 1.0, fixture.now);
    const auto first = fixture.send("first", RequestKind::Repeatable, "/get/");
    fixture.checker.limitAnnounced(first, endpoint, fixture.now);
    fixture.now += seconds(5);
    // One and a half times the limit of 1 a second in 4 s, and five more.
    constexpr int allowed = 11;
    for (int number = 0; number < allowed; ++number)
        fixture.run(fixture.send("r" + std::to_string(number), RequestKind::Repeatable, "/get/"));
    const core::RequestId untold("untold");
    fixture.checker.requestSent(
        {untold, RequestKind::Repeatable, "/get/", other, seconds(4), seconds(4)}, fixture.now);
    fixture.run(untold);
    fixture.expectNoViolation();
    fixture.run(fixture.send("last", RequestKind::Repeatable, "/get/"));
    fixture.expectOnlyViolationsOf(Check::RequestLimit);
}

// Guards against a violation that is reported because the grace time of a stop expired while the
// daemon was frozen: soaks with seeds 6 and 8 failed for this reason.
Test(soakchecker, graceTimeExpiredWhileFrozenIsNoViolation)
{
    constexpr int killed = 137;
    CheckerFixture fixture;
    fixture.checker.processFrozen(fixture.incarnation, true, fixture.now);
    fixture.checker.stopRequested(fixture.incarnation, fixture.now);
    fixture.now += seconds(2);
    fixture.checker.processFrozen(fixture.incarnation, false, fixture.now);
    fixture.checker.processEnded(fixture.incarnation, killed);
    fixture.expectNoViolation();
    CheckerFixture other;
    other.checker.stopRequested(other.incarnation, other.now);
    other.checker.processEnded(other.incarnation, killed);
    other.expectOnlyViolationsOf(Check::ProcessUp);
}

// Guards against a checker that misses a run on a superseded version of an adapter, or reports one
// within the bound, one of a daemon that was disturbed, or time in which the store did not serve.
Test(soakchecker, supersededAdapterVersionIsDetected)
{
    const core::AdapterId adapter("a1");
    CheckerFixture fixture;
    fixture.checker.versionAnnounced(adapter, 2, fixture.now);
    fixture.checker.versionAnnounced(adapter, 3, fixture.now + seconds(3));
    const auto runAfter = [&](CheckerFixture &used, milliseconds time, int version) {
        const auto id
            = used.send("r" + std::to_string(time.count()) + "." + std::to_string(version),
                        RequestKind::Repeatable, "/get/");
        used.checker.adapterRan(id, adapter, version, used.now + time);
    };
    runAfter(fixture, milliseconds(5000), 1);
    runAfter(fixture, milliseconds(7900), 2);
    runAfter(fixture, milliseconds(9000), 3);
    fixture.checker.storeDisturbed(true, fixture.now);
    fixture.checker.storeDisturbed(false, fixture.now + seconds(1));
    runAfter(fixture, milliseconds(6000), 1);
    fixture.expectNoViolation();
    runAfter(fixture, milliseconds(8100), 2);
    cr_assert_eq(fixture.checker.violations().size(), 1);
    runAfter(fixture, milliseconds(6001), 1);
    fixture.expectOnlyViolationsOf(Check::AdapterVersion);
    cr_assert_eq(fixture.checker.violations().size(), 2);
}

namespace {

/// Interrupts the links of the fixture's process and sends requests to it and to another one, from
/// `delay` after that on; the fixture's process serves `served` of 30, the other one all.
void interruptLinks(CheckerFixture &fixture, core::Duration delay, int served)
{
    const ProcessIncarnation other {2};
    fixture.checker.processStarted(other, fixture.now);
    fixture.now += seconds(20);
    fixture.checker.linksInterrupted({{fixture.incarnation, true}}, fixture.now);
    fixture.now += delay;
    constexpr int requests = 30;
    for (int number = 0; number < requests; ++number) {
        const auto own
            = fixture.send("own" + std::to_string(number), RequestKind::Repeatable, "/get/");
        if (number < served) {
            fixture.run(own);
            fixture.succeed(own, expectedBody(own));
        } else {
            fixture.fail(own, 502);
        }
        const core::RequestId others("others" + std::to_string(number));
        fixture.checker.requestSent(
            {others, RequestKind::Repeatable, "/get/", other, seconds(4), seconds(4)}, fixture.now);
        fixture.run(others);
        fixture.succeed(others, expectedBody(others));
    }
    fixture.checker.linksRestored(fixture.now);
    fixture.checker.checkInterruptions();
}

} // namespace

Test(soakchecker, daemonWithoutLinksThatServesTooLittleIsDetected)
{
    CheckerFixture fixture;
    interruptLinks(fixture, milliseconds(4000), 19);
    fixture.expectOnlyViolationsOf(Check::ServedWithoutLinks);
}

// Guards against a check that counts requests before the detection time, or asks for more than two
// thirds.
Test(soakchecker, daemonWithoutLinksMayServeLessAtFirst)
{
    CheckerFixture fixture;
    interruptLinks(fixture, milliseconds(3999), 0);
    fixture.expectNoViolation();
    cr_assert_eq(fixture.checker.counts().at(Check::ServedWithoutLinks), 0);
    CheckerFixture later;
    interruptLinks(later, milliseconds(4000), 20);
    later.expectNoViolation();
    cr_assert_eq(later.checker.counts().at(Check::ServedWithoutLinks), 1);
}

// Guards against a check that takes what a broken link cut off for an answer that the daemon lost.
Test(soakchecker, answerBrokenByLinkIsNotLost)
{
    CheckerFixture fixture;
    fixture.now += seconds(20);
    const auto id = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
    fixture.run(id);
    fixture.checker.linksInterrupted({{fixture.incarnation, true}}, fixture.now);
    fixture.fail(id, 502);
    fixture.expectNoViolation();
}

Test(soakchecker, answerLostWhileLinksRefuseOnlyNewConnectionsIsDetected)
{
    CheckerFixture fixture;
    fixture.now += seconds(20);
    const auto id = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
    fixture.run(id);
    fixture.checker.linksInterrupted({{fixture.incarnation, false}}, fixture.now);
    fixture.fail(id, 502);
    fixture.expectOnlyViolationsOf(Check::LostAnswer);
}

// Guards against daemons that break a rule under overlapping faults: one short soak with a fixed
// seed. scripts/soak runs other seeds.
Test(soak, shortSoakFindsNoViolation, .timeout = 120)
{
    const std::string output = std::filesystem::temp_directory_path()
        / ("jackdawlead-tst_soak-" + std::to_string(getpid()));
    testsupport::Process soak({SOAK, "--seed", "1", "--seconds", "30"}, output);
    const auto code = soak.waitForExit(seconds(100));
    std::ifstream file(output);
    const std::string text {std::istreambuf_iterator<char>(file), {}};
    std::filesystem::remove(output);
    cr_assert(code.has_value(), "soak did not end within 100 s:\n%s", text.c_str());
    cr_assert_eq(*code, 0, "%s", text.c_str());
}
