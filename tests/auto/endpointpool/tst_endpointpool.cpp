#include "decisions/idleconnectionlimit.h"
#include "gateway/endpointpool.h"
#include "http/server.h"
#include "support/loopwait.h"
#include "support/ports.h"

#include <criterion/criterion.h>

#include <vector>

using namespace jackdawlead;
using namespace jackdawlead::gateway;

// Guards against 195 daemons that each keep 48 idle connections to an endpoint with a limit of
// 1,300, which resets further connections together with the requests on them.
Test(endpointpool, idleConnectionsOfAllDaemonsStayWithinTheLimit)
{
    for (const int daemonCount : {1, 6, 85, 195, 360}) {
        const std::size_t idle = decisions::idleConnectionLimit(1300, daemonCount);
        cr_assert_geq(idle, 1U);
        cr_assert_leq(idle * static_cast<std::size_t>(daemonCount), 1300U / 2);
    }
    cr_assert_eq(decisions::idleConnectionLimit(96, 195), 1U);
    cr_assert_eq(decisions::idleConnectionLimit(96, 0), 48U);
}

// Guards against a pool that ignores its idle limit.
Test(endpointpool, returnedConnectionsOverTheLimitAreClosed, .timeout = 60)
{
    net::EventLoop loop;
    net::TimerService timers(loop);
    testsupport::PortPicker ports;
    const net::Address address {"127.0.0.1", ports.take()};
    http::Server server(loop, timers, [](const auto &exchange) {
        exchange->respond(200, {{"Keep-Alive", "timeout=20"}}, {});
    });
    cr_assert(server.listen(address).ok());
    EndpointPool pool(loop, timers);
    pool.setIdleLimit(core::ServiceId("s"), 3);
    fleet::Endpoint endpoint;
    endpoint.id = core::EndpointId("e");
    endpoint.service = core::ServiceId("s");
    endpoint.address = address;
    constexpr std::size_t count = 8;
    std::vector<std::unique_ptr<http::ClientConnection>> connections;
    std::size_t answered = 0;
    for (std::size_t number = 0; number < count; ++number) {
        connections.push_back(pool.take(endpoint, false, {}));
        http::ExchangeObserver observer;
        observer.onHead = [](http::MessageHead &) {};
        observer.onBody = [](const std::string &) {};
        observer.onEnd = [&answered](http::ExchangeEnd) { ++answered; };
        connections.back()->send({"GET / HTTP/1.1\r\nHost: x\r\n\r\n", false, "", ""},
                                 std::move(observer));
    }
    cr_assert(testsupport::waitUntil(
        loop, timers, [&] { return answered == count; }, std::chrono::seconds(20)));
    for (auto &connection : connections)
        pool.giveBack(endpoint.id, std::move(connection));
    cr_assert_eq(pool.idleConnections(endpoint.id), 3U);
}
