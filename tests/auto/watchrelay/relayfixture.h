#pragma once

#include "platform/watchcodec.h"
#include "support/followerfixture.h"

#include <criterion/criterion.h>

namespace jackdawlead::testsupport {

/// The store, a daemon that is a relay, and one that follows the store through it.
struct Fixture
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    PortPicker ports;
    net::Address storeAddress {"127.0.0.1", ports.take()};
    net::Address relayAddress {"127.0.0.1", ports.take()};
    net::Address spareRelayAddress {"127.0.0.1", ports.take()};
    FakeStore store {loop, timers, storeAddress.port};
    FakeEndpoint endpoint {loop, timers, "e", ports.take()};
    Follower relayDaemon {loop, timers, storeAddress, bounds()};
    Follower follower {loop, timers, storeAddress, bounds()};
    bool isRelaySilent = false;
    std::vector<std::shared_ptr<http::ServerExchange>> unanswered;
    int relayRequests = 0;
    http::Server server {loop, timers, [this](const auto &exchange) { serve(exchange); }};

    Fixture()
    {
        cr_assert(server.listen(relayAddress).ok());
        store.put("config", "main", configuration(1));
        store.put("servers", endpoint.id, endpoint.record("plain"));
        relayDaemon.watch.start();
        relayDaemon.transport.setIsRelay(true);
        relayDaemon.relay.activate(false);
        follower.transport.setRelays(relayAddress, std::nullopt);
        cr_assert(waitUntil([this] { return relayDaemon.generation() == 1; }));
        // The relay answers watches after its first own watch of each kind.
        store.put("versions", "m.a", {{"model", "m"}, {"adapter", "a"}, {"version", 2}});
        runLoopFor(milliseconds(2100));
        follower.watch.start();
        cr_assert(waitUntil([this] { return follower.generation() == 1; }));
        runLoopFor(milliseconds(100));
    }

    void serve(const std::shared_ptr<http::ServerExchange> &exchange)
    {
        ++relayRequests;
        if (isRelaySilent) {
            unanswered.push_back(exchange);
            return;
        }
        const std::string_view target = exchange->head.target;
        const auto watch = platform::parseRelayWatchTarget(
            target.substr(sizeof StoreTransport::relayPrefix - 1));
        cr_assert(watch.has_value());
        relayDaemon.relay.serve(*watch, exchange);
    }

    bool waitUntil(const std::function<bool()> &condition,
                   core::Duration maxTime = std::chrono::seconds(20))
    {
        return testsupport::waitUntil(loop, timers, condition, maxTime);
    }

    void runLoopFor(core::Duration time) { runFor(loop, timers, time); }

    /// The follower's calls to the store, that is, those that no relay received.
    std::int64_t followerStoreCalls() const
    {
        return static_cast<std::int64_t>(follower.controlClient.callCount()) - relayRequests;
    }
};

} // namespace jackdawlead::testsupport
