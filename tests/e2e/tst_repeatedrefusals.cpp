#include "support/platformfixture.h"
#include "support/rawendpoint.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

/// One endpoint that refuses the first request that it gets, and writes the refusal once more when
/// the next request arrives on the same connection. It runs that one.
struct RefusingFixture : PlatformFixture
{
    RawEndpoint endpoint {loop, "e-raw", picker.take()};
    int acceptedAtRefusal = 0;
    std::vector<std::string> runs;
    std::vector<net::TimerService::Subscription> answers;
    bool hasIds = true;

    explicit RefusingFixture(const char *service)
        : PlatformFixture(service)
    {
        store.put("servers", endpoint.id, endpoint.record(service));
        store.remove("servers", first.id);
        store.remove("servers", second.id);
        endpoint.run = [this](auto &connection, const auto &head) { run(connection, head); };
        runLoopFor(milliseconds(2500));
    }

    std::string refusal(const http::MessageHead &head) const
    {
        return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
            + (hasIds ? "Request-Id: " + head.headers.value("Request-Id") + "\r\n" : std::string())
            + "\r\n";
    }

    void run(http::Connection &connection, const http::MessageHead &head)
    {
        if (endpoint.heads.size() == 1) {
            acceptedAtRefusal = endpoint.accepted();
            connection.write(refusal(head));
            return;
        }
        runs.push_back(head.headers.value("Request-Id"));
        const bool isSameConnection = endpoint.accepted() == acceptedAtRefusal;
        if (runs.size() == 1 && isSameConnection)
            connection.write(refusal(endpoint.heads.front()));
        answers.push_back(timers.once(milliseconds(100), [&connection, head] {
            connection.write(
                RawEndpoint::stampedHead(
                    head, "Content-Length: " + std::to_string(event(1).size()) + "\r\n")
                + event(1));
        }));
    }
};

} // namespace

// Guards against taking a late copy of the refusal of the first send for the refusal of the second
// one: the caller of a request that must not repeat was told that it had not run.
Test(repeatedrefusals, copyOfARefusalDoesNotRefuseTheSecondSend, .timeout = 60)
{
    RefusingFixture fixture("model");
    const auto answer = fixture.call("/once/a", "r1", "base");
    cr_assert_eq(answer->head.status, 200, "status %d\n%s", answer->head.status,
                 fixture.output().c_str());
    cr_assert_eq(answer->body, event(1));
    cr_assert_eq(fixture.runs.size(), 1U, "%zu runs", fixture.runs.size());
}

// The same for refusals without a request id, of which a copy may be taken for the refusal of any
// later request on the connection.
Test(repeatedrefusals, copyWithoutAnIdDoesNotRefuseALaterRequest, .timeout = 60)
{
    RefusingFixture fixture("plain");
    fixture.hasIds = false;
    // A plain service has no other endpoint, so that the request is refused at once.
    cr_assert_eq(fixture.call("/order/a", "r1")->head.status, 503);
    const auto answer = fixture.call("/order/b", "r2");
    cr_assert_eq(answer->head.status, 200, "status %d\n%s", answer->head.status,
                 fixture.output().c_str());
    cr_assert_eq(fixture.runs.size(), 1U, "%zu runs", fixture.runs.size());
}
