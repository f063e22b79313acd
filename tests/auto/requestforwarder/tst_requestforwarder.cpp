#include "gateway/requestforwarder.h"

#include <criterion/criterion.h>

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
