#include "gateway/requestforwarder.h"
#include "support/loopwait.h"
#include "support/ports.h"
#include "support/rawpeer.h"

#include <criterion/criterion.h>

#include <optional>

using namespace jackdawlead;
using namespace jackdawlead::gateway;

namespace {

http::MessageHead answerWith(int status, const std::string &outcome = {})
{
    http::MessageHead head;
    head.status = status;
    if (!outcome.empty())
        head.headers.add("Jackdawlead-Outcome", outcome);
    return head;
}

} // namespace

// Guards against a client that gets what the other daemon says about its own message as the
// endpoint's answer: 404 of a release that does not know the message, or 503 because its server
// rejects it.
Test(requestforwarder, answerOfTheDaemonItselfIsNotTheEndpoints)
{
    for (const int status : {404, 408, 413, 503}) {
        http::MessageHead head = answerWith(status);
        cr_expect(RequestForwarder::takeOutcome(head) == ForwardOutcome::Rejected, "status %d",
                  status);
    }
}

// Guards against an answer of the endpoint that is taken for a rejection, and against a field that
// reaches the client.
Test(requestforwarder, answerOfTheEndpointIsMarked)
{
    http::MessageHead head = answerWith(503, "answered");
    cr_expect(RequestForwarder::takeOutcome(head) == ForwardOutcome::Answered);
    cr_expect_not(head.headers.contains("Jackdawlead-Outcome"));
}

// Guards against a second attempt of a request that goes to the daemon that has just died with the
// first one although another daemon could send it, and against one that is not sent at all.
Test(requestforwarder, daemonThatFailedIsChosenLast)
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    http::ControlClient client {loop, timers};
    RequestForwarder forwarder {loop, timers, client};
    const net::Address first {"127.0.0.1", 1};
    const net::Address second {"127.0.0.1", 2};
    forwarder.setPeers({first, second});
    cr_expect(forwarder.choosePeer() == first);
    cr_expect(forwarder.choosePeer({first}) == second);
    cr_expect(forwarder.choosePeer({first, second}) == first);
}

// Guards against calling a request not run because of a word that a later release uses.
Test(requestforwarder, unknownOutcomeMayHaveRun)
{
    http::MessageHead head = answerWith(502, "later-word");
    cr_expect(RequestForwarder::takeOutcome(head) == ForwardOutcome::Broken);
}

// Guards against an endpoint that counts as answering because a daemon of an earlier release could
// open a connection to it, and against one that another daemon found silent.
Test(requestforwarder, onlyAStatedAnswerProvesThatAnEndpointAnswers, .timeout = 60)
{
    using Proof = RequestForwarder::Proof;
    using Reachability = RequestForwarder::Reachability;
    struct Case
    {
        const char *answer;
        Proof proof;
        Reachability expected;
    };
    for (const Case &given :
         {Case {"200 OK\r\n", Proof::Connection, Reachability::Reachable},
          Case {"200 OK\r\n", Proof::Answer, Reachability::Unknown},
          Case {"200 OK\r\nJackdawlead-Outcome: answered\r\n", Proof::Answer,
                Reachability::Reachable},
          Case {"503 No\r\nJackdawlead-Outcome: silent\r\n", Proof::Answer, Reachability::Unknown},
          Case {"503 No\r\nJackdawlead-Outcome: unreachable\r\n", Proof::Answer,
                Reachability::Unreachable}}) {
        net::EventLoop loop;
        net::TimerService timers {loop};
        http::ControlClient client {loop, timers};
        testsupport::PortPicker picker;
        const net::Address address {"127.0.0.1", picker.take()};
        testsupport::RawPeer peer(loop, address, [&](http::Connection &connection, const auto &) {
            connection.write(std::string("HTTP/1.1 ") + given.answer + "Content-Length: 0\r\n\r\n");
        });
        RequestForwarder forwarder {loop, timers, client};
        forwarder.setPeers({address});
        std::optional<Reachability> result;
        forwarder.check(core::EndpointId("e"), given.proof,
                        [&](Reachability reachability) { result = reachability; });
        constexpr core::Duration limit = std::chrono::seconds(10);
        cr_assert(testsupport::waitUntil(
            loop, timers, [&] { return result.has_value(); }, limit));
        cr_expect_eq(*result, given.expected, "%s", given.answer);
    }
}
