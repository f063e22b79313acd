#include "checkerfixture.h"

using namespace jackdawlead;
using namespace jackdawlead::soak;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a soak that passes although a daemon gives up a stream, or a request that it then
// answers with an error, at an endpoint that goes on after a silence.
Test(soakchecker, answerGivenUpWhileItsEndpointWorksIsDetected)
{
    CheckerFixture cut;
    const auto stream = cut.send("r1", RequestKind::ResumableStream, "/get/");
    cut.run(stream);
    cut.now += seconds(2);
    cut.cutStream(stream);
    cut.expectViolationsOf({Check::LostAnswer, Check::InTime});
    CheckerFixture failed;
    const auto plain = failed.send("r1", RequestKind::Repeatable, "/get/");
    failed.run(plain);
    failed.now += seconds(2);
    failed.fail(plain, 502);
    failed.expectOnlyViolationsOf(Check::LostAnswer);
    cr_assert_eq(failed.checker.unfinishedAnswers().at("lost"), 1);
}

// Guards against a soak that passes although a daemon gives up a request that waits at a silent
// endpoint, which would have run it.
Test(soakchecker, acceptedRequestGivenUpIsDetected)
{
    CheckerFixture fixture;
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
    fixture.checker.requestAccepted(id, endpoint);
    fixture.now += seconds(2);
    fixture.fail(id, 502);
    fixture.expectOnlyViolationsOf(Check::LostAnswer);
}

// Guards against a violation that is reported because a frozen process read a request late, and
// forwarded it again after the stable window, which long streams outlast.
Test(soakchecker, deadlineOfRequestReadLateIsNoViolation)
{
    for (const bool isFrozen : {true, false}) {
        CheckerFixture fixture;
        const auto id = fixture.send("r1", RequestKind::ResumableStream, "/get/");
        if (isFrozen)
            fixture.checker.processFrozen(fixture.incarnation, true, fixture.now);
        fixture.now += seconds(1);
        if (isFrozen)
            fixture.checker.processFrozen(fixture.incarnation, false, fixture.now);
        fixture.now += Bounds {}.stableWindow + milliseconds(100);
        fixture.checker.requestReceived(id, endpoint, seconds(4), fixture.now);
        if (isFrozen)
            fixture.expectNoViolation();
        else
            fixture.expectOnlyViolationsOf(Check::Deadline);
    }
}

// Guards against an interruption at one endpoint that excuses the answer of the next one, or of an
// endpoint that did not run the request.
Test(soakchecker, interruptionExcusesOnlyTheInterruptedRun)
{
    CheckerFixture later;
    const auto id = later.send("r1", RequestKind::Repeatable, "/get/");
    later.run(id);
    later.checker.answerInterrupted(id, endpoint);
    const core::EndpointId second("e-second");
    later.checker.requestRan(id, second);
    later.checker.answerInterrupted(id, endpoint);
    later.fail(id, 502);
    later.expectOnlyViolationsOf(Check::LostAnswer);
    CheckerFixture excused;
    const auto interrupted = excused.send("r1", RequestKind::Repeatable, "/get/");
    excused.run(interrupted);
    excused.checker.answerInterrupted(interrupted, endpoint);
    excused.fail(interrupted, 502);
    excused.expectNoViolation();
}

// Guards against a violation for a stream that broke off after its last event, of which the next
// endpoint has no rest, and against taking any interrupted stream for one.
Test(soakchecker, streamThatBreaksOffAfterItsLastEventIsExcused)
{
    for (const bool hasAll : {true, false}) {
        CheckerFixture fixture;
        const auto id = fixture.send("r1", RequestKind::ResumableStream, "/get/");
        fixture.run(id);
        fixture.checker.answerInterrupted(id, endpoint);
        fixture.checker.requestRan(id, core::EndpointId("e-second"));
        const std::string body = expectedEvents(id, 1, eventCount(id) - (hasAll ? 0 : 1), "v1");
        fixture.checker.requestEnded(
            id, {200, id.value(), expectedStamp(id, 200), body, false, true}, fixture.now);
        if (hasAll)
            fixture.expectNoViolation();
        else
            fixture.expectOnlyViolationsOf(Check::LostAnswer);
    }
}

// Guards against a violation for an answer that the daemon may end, or that it may lose because of
// a disturbance, and against a cause that the report does not count.
Test(soakchecker, excusedAnswersAreCountedByCause)
{
    const auto expectExcused = [](const std::string &cause, const auto &disturb) {
        CheckerFixture fixture;
        const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
        fixture.run(id);
        disturb(fixture);
        fixture.fail(id, 502);
        fixture.expectNoViolation();
        cr_assert_eq(fixture.checker.unfinishedAnswers().size(), 1);
        cr_assert_eq(fixture.checker.unfinishedAnswers().count(cause), 1, "%s", cause.c_str());
    };
    expectExcused("the time limit was reached",
                  [](CheckerFixture &fixture) { fixture.now += seconds(4); });
    expectExcused("the process was killed", [](CheckerFixture &fixture) {
        fixture.checker.processKilled(fixture.incarnation, fixture.now);
    });
    expectExcused("the process was frozen or the soak held up", [](CheckerFixture &fixture) {
        fixture.checker.processFrozen(fixture.incarnation, true, fixture.now);
    });
    expectExcused("the store was disturbed", [](CheckerFixture &fixture) {
        fixture.checker.storeDisturbed(true, fixture.now);
    });
    CheckerFixture left;
    const auto id = left.send("r1", RequestKind::Repeatable, "/get/");
    left.run(id);
    left.checker.requestAbandoned(id, left.now);
    cr_assert_eq(left.checker.unfinishedAnswers().at("the caller left"), 1);
}

// Guards against a checker that stays silent for good after a disturbance.
Test(soakchecker, answerLostAfterTheStableWindowIsDetected)
{
    CheckerFixture fixture;
    fixture.checker.storeDisturbed(true, fixture.now);
    fixture.checker.storeDisturbed(false, fixture.now);
    fixture.now += Bounds {}.stableWindow + milliseconds(100);
    const auto id = fixture.send("r1", RequestKind::Repeatable, "/get/");
    fixture.run(id);
    fixture.fail(id, 502);
    fixture.expectOnlyViolationsOf(Check::LostAnswer);
}

// Guards against a soak that passes although a daemon accepts work late in a planned stop and cuts
// it off, and against a violation for work that was sent early and lasts to the end of the grace
// time.
Test(soakchecker, onlyEarlyWorkMayBeLostAtTheEndOfTheGraceTime)
{
    for (const milliseconds sentAfter : {milliseconds(2900), milliseconds(3100)}) {
        for (const milliseconds endedAfter : {milliseconds(6500), milliseconds(6700)}) {
            CheckerFixture fixture;
            const core::TimePoint stop = fixture.now;
            fixture.checker.stopRequested(fixture.incarnation, stop);
            fixture.now = stop + sentAfter;
            const core::RequestId id("r1");
            fixture.checker.requestSent({id, RequestKind::SingleStream, "/get/",
                                         fixture.incarnation, seconds(12), seconds(12)},
                                        fixture.now);
            fixture.run(id);
            fixture.now = stop + endedAfter;
            fixture.cutStream(id);
            if (sentAfter <= seconds(3) && endedAfter >= milliseconds(6667))
                fixture.expectNoViolation();
            else
                fixture.expectViolationsOf({Check::PlannedStop, Check::LostAnswer});
        }
    }
}

// Guards against a check that blames a daemon with whole links for an answer that stood still on a
// link of another daemon, whose address it had received; an answer beside it must still be whole.
Test(soakchecker, onlyAnswersOnABrokenLinkAreExcused)
{
    CheckerFixture fixture;
    fixture.now += seconds(20);
    const auto onLink = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
    const auto beside = fixture.send("r2", RequestKind::Unrepeatable, "/get/");
    fixture.run(onLink);
    fixture.run(beside);
    fixture.checker.answersInterrupted({onLink});
    fixture.fail(onLink, 502);
    fixture.expectNoViolation();
    fixture.fail(beside, 502);
    fixture.expectOnlyViolationsOf(Check::LostAnswer);
}

// Guards against a violation that is reported because another daemon, through which the request may
// have passed, was killed, and against one that stays undetected because any daemon was killed.
Test(soakchecker, answerLostWithTheDaemonThatSentItOnIsNoViolation)
{
    for (const bool areLinksInterrupted : {true, false}) {
        CheckerFixture fixture;
        const ProcessIncarnation other {2};
        fixture.checker.processStarted(other, fixture.now);
        fixture.now += seconds(20);
        if (areLinksInterrupted)
            fixture.checker.linksInterrupted({{fixture.incarnation, true}}, fixture.now);
        fixture.now += seconds(1);
        const auto id = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
        fixture.run(id);
        fixture.now += milliseconds(100);
        fixture.checker.processKilled(other, fixture.now);
        fixture.now += milliseconds(100);
        fixture.fail(id, 502);
        if (areLinksInterrupted)
            fixture.expectNoViolation();
        else
            fixture.expectOnlyViolationsOf(Check::LostAnswer);
    }
}

// The same for a daemon that was killed before the request reached its endpoint.
Test(soakchecker, answerLostAfterTheDeathOfAnotherDaemonIsDetected)
{
    CheckerFixture fixture;
    const ProcessIncarnation other {2};
    fixture.checker.processStarted(other, fixture.now);
    fixture.now += seconds(20);
    fixture.checker.linksInterrupted({{fixture.incarnation, true}}, fixture.now);
    fixture.checker.processKilled(other, fixture.now);
    fixture.now += seconds(1);
    const auto id = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
    fixture.run(id);
    fixture.now += milliseconds(100);
    fixture.fail(id, 502);
    fixture.expectOnlyViolationsOf(Check::LostAnswer);
}

// Guards against a violation that is reported because a request had passed its daemon's links, but
// was read by its endpoint only after they were interrupted (seed 1404, two releases, once).
Test(soakchecker, answerToARequestThatWasOnItsWayIsNotLost)
{
    for (const bool isSentBefore : {true, false}) {
        CheckerFixture fixture;
        fixture.now += seconds(20);
        core::RequestId id("r1");
        if (isSentBefore)
            id = fixture.send("r1", RequestKind::Unrepeatable, "/get/");
        fixture.now += milliseconds(1);
        fixture.checker.linksInterrupted({{fixture.incarnation, true}}, fixture.now);
        fixture.now += milliseconds(1);
        if (!isSentBefore)
            fixture.send("r1", RequestKind::Unrepeatable, "/get/");
        fixture.run(id);
        fixture.now += seconds(1);
        fixture.fail(id, 502);
        if (isSentBefore)
            fixture.expectNoViolation();
        else
            fixture.expectOnlyViolationsOf(Check::LostAnswer);
    }
}
