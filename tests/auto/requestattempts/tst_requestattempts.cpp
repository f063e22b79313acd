#include "gateway/requestattempts.h"
#include "http/idleconnections.h"
#include "http/server.h"
#include "support/loopwait.h"
#include "support/ports.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using decisions::RunEnd;
using gateway::RequestAttempt;
using gateway::RequestAttempts;

namespace {

constexpr core::Duration waitLimit = std::chrono::seconds(20);
constexpr RunEnd allReasons[] = {RunEnd::NotSent,       RunEnd::Replaced,    RunEnd::RequestEnded,
                                 RunEnd::InvalidAnswer, RunEnd::BuffersFull, RunEnd::OlderVersion};

template <typename Attempt>
concept CanBeEndedFromOutside = requires(Attempt &attempt)
{
    attempt.abandon();
}
|| requires(Attempt &attempt)
{
    attempt.connection.reset();
}
|| requires(Attempt &attempt)
{
    attempt.m_connection.reset();
};

// Guards against a second place that ends runs: only RequestAttempts reaches the connection.
static_assert(!CanBeEndedFromOutside<RequestAttempt>);

/// A request whose attempts are at one endpoint, which answers nothing.
struct Fixture
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    testsupport::PortPicker picker;
    std::uint16_t port = picker.take();
    std::vector<std::shared_ptr<http::ServerExchange>> received;
    http::Server endpoint {loop, timers, [this](std::shared_ptr<http::ServerExchange> exchange) {
                               received.push_back(std::move(exchange));
                           }};
    decisions::BufferBudget buffers {1024};
    int released = 0;
    std::vector<RunEnd> ended;
    std::vector<RunEnd> rejected;
    std::unique_ptr<RequestAttempts> attempts;

    Fixture()
    {
        cr_assert(endpoint.listen({"127.0.0.1", port}).ok());
        attempts = std::make_unique<RequestAttempts>(
            buffers,
            RequestAttempts::Handlers {
                .onReleased =
                    [this](RequestAttempt &, auto connection) {
                        ++released;
                        http::closeLater(loop, std::move(connection));
                    },
                .onRunEnded = [this](const auto &, RunEnd reason) { ended.push_back(reason); },
                .onEndRejected
                = [this](const auto &, RunEnd reason) { rejected.push_back(reason); },
            });
    }

    void send(int number)
    {
        auto attempt = std::make_unique<RequestAttempt>(buffers);
        attempt->number = number;
        attempts->add(std::move(attempt));
        http::ExchangeObserver observer;
        observer.onHead = [](auto &) {};
        observer.onBody = [](const auto &) {};
        observer.onEnd = [](auto) {};
        attempts->start(std::make_unique<http::ClientConnection>(
                            loop, net::Address {"127.0.0.1", port}, std::chrono::seconds(2)),
                        {"GET /a HTTP/1.1\r\nHost: a\r\n\r\n", false, {}, {}}, std::move(observer));
    }

    void sendAndWait(int number)
    {
        const std::size_t before = received.size();
        send(number);
        cr_assert(testsupport::waitUntil(
            loop, timers, [&] { return received.size() > before; }, waitLimit));
    }
};

} // namespace

// Guards against a reason that ends a run although the state of the run does not allow it.
Test(requestattempts, eachReasonNeedsItsState)
{
    for (int bits = 0; bits < 16; ++bits) {
        const decisions::RunState state {.mayHaveBeenSent = (bits & 1) != 0,
                                         .hasAnswer = (bits & 2) != 0,
                                         .isOtherServing = (bits & 4) != 0,
                                         .isRequestEnded = (bits & 8) != 0};
        cr_expect_eq(mayEndRun(RunEnd::NotSent, state), !state.mayHaveBeenSent);
        cr_expect_eq(mayEndRun(RunEnd::Replaced, state), state.isOtherServing);
        cr_expect_eq(mayEndRun(RunEnd::RequestEnded, state), state.isRequestEnded);
        cr_expect_eq(mayEndRun(RunEnd::InvalidAnswer, state), state.hasAnswer);
        cr_expect_eq(mayEndRun(RunEnd::BuffersFull, state), state.hasAnswer);
        cr_expect_eq(mayEndRun(RunEnd::OlderVersion, state), !state.hasAnswer);
    }
}

// Guards against a run that is ended for an endpoint that has not begun to answer: planted here, as
// a second place in the code would do it.
Test(requestattempts, runIsNotEndedForAnEndpointThatOnlyHasTheRequest)
{
    Fixture fixture;
    fixture.sendAndWait(1);
    fixture.sendAndWait(2);
    fixture.attempts->endOthers(RunEnd::Replaced);
    cr_expect(fixture.ended.empty());
    cr_expect_eq(fixture.rejected.size(), 1);
    cr_expect(fixture.received.front()->isOpen());
    cr_expect(fixture.attempts->hasOthers(), "the run goes on");
    fixture.attempts->current().runBeganAt = fixture.timers.now();
    fixture.attempts->endOthers(RunEnd::Replaced);
    cr_expect_eq(fixture.ended.size(), 1);
    cr_expect_not(fixture.attempts->hasOthers());
    cr_expect_eq(fixture.released, 1);
}

// Guards against a run that ends for any reason while nothing has happened that allows it.
Test(requestattempts, runInAQueueEndsOnlyForItsVersion)
{
    for (const RunEnd reason : allReasons) {
        Fixture fixture;
        fixture.sendAndWait(1);
        const bool isEnded = fixture.attempts->endCurrent(reason);
        cr_expect_eq(isEnded, reason == RunEnd::OlderVersion, "reason %d",
                     static_cast<int>(reason));
        cr_expect_eq(fixture.attempts->current().isInProgress, !isEnded);
        cr_expect_eq(fixture.rejected.size(), isEnded ? 0 : 1);
    }
}

// Guards against a request that counts as one that may have run although nothing was sent.
Test(requestattempts, unsentAttemptIsNoRun)
{
    Fixture fixture;
    fixture.send(1); // Its connection opens in a later iteration of the loop.
    cr_expect(fixture.attempts->endCurrent(RunEnd::NotSent));
    cr_expect(fixture.ended.empty());
    cr_expect_eq(fixture.released, 1);
}

// Guards against runs that go on at endpoints after their request has ended.
Test(requestattempts, allRunsEndWithTheRequest)
{
    Fixture fixture;
    fixture.sendAndWait(1);
    fixture.sendAndWait(2);
    fixture.attempts.reset();
    cr_expect_eq(fixture.ended.size(), 2);
    cr_expect_eq(fixture.released, 2);
    cr_assert(testsupport::waitUntil(
        fixture.loop, fixture.timers,
        [&] { return !fixture.received[0]->isOpen() && !fixture.received[1]->isOpen(); },
        waitLimit));
}
