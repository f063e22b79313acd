#include "http/server.h"
#include "support/ports.h"

#include <criterion/criterion.h>

using namespace jackdawlead;

// Guards against a reservation that prevents listening on the port. A port stays reserved while it
// is used, because two test processes that get the same port receive each other's requests and
// answer them or leave them without an answer.
Test(ports, reservedPortCanBeListenedOn)
{
    testsupport::PortPicker picker;
    const net::Address address {"127.0.0.1", picker.take()};
    cr_assert_neq(address.port, 0);
    net::EventLoop loop;
    net::TimerService timers(loop);
    http::Server server(loop, timers, [](const auto &) {});
    const absl::Status status = server.listen(address);
    cr_assert(status.ok(), "%s", std::string(status.message()).c_str());
}

// Guards against a second listener that takes a port which is in use without a failure.
Test(ports, portInUseIsRefused)
{
    testsupport::PortPicker picker;
    const net::Address address {"127.0.0.1", picker.take()};
    net::EventLoop loop;
    net::TimerService timers(loop);
    http::Server first(loop, timers, [](const auto &) {});
    http::Server second(loop, timers, [](const auto &) {});
    cr_assert(first.listen(address).ok());
    cr_assert_not(second.listen(address).ok());
}
