#pragma once

#include "gateway/fleetwatch.h"
#include "gateway/storetransport.h"
#include "gateway/watchrelay.h"
#include "support/loopwait.h"
#include "support/platformfakes.h"
#include "support/ports.h"

namespace jackdawlead::testsupport {

using namespace jackdawlead::gateway;

using nlohmann::json;
using std::chrono::milliseconds;

/// The parts of a daemon that follow the store.
struct Follower
{
    net::TimerService &timers;
    http::ControlClient controlClient;
    StoreTransport transport;
    platform::ObjectStoreClient store {
        [this](const net::HttpRequest &request, core::Duration timeout, auto handler) {
            transport.call(request, timeout, std::move(handler));
        },
        [this](const platform::WatchRequest &watch, core::Duration margin, auto handler) {
            transport.watch(watch, margin, std::move(handler));
        }};
    WatchRelay relay {timers, milliseconds(1800)};
    int leavingSeen = 0;
    int removalsSeen = 0;
    int endpointsSeen = 0;
    int versionsExpired = 0;
    FleetWatch watch;

    Follower(net::EventLoop &loop, net::TimerService &timerService,
             const net::Address &storeAddress, const fleet::Bounds &bounds)
        : timers(timerService)
        , controlClient(loop, timerService)
        , transport(controlClient, timerService, storeAddress)
        , watch(store, timerService, relay, bounds,
                {.onConfigurationChanged = [] {},
                 .onEndpointChanged =
                     [this](const fleet::Endpoint &endpoint) {
                         ++endpointsSeen;
                         leavingSeen += endpoint.isLeaving ? 1 : 0;
                     },
                 .onEndpointRemoved = [this](const core::EndpointId &) { ++removalsSeen; },
                 .onVersionAnnounced = [](const fleet::AnnouncedVersion &) {},
                 .onNewerVersionRequired = [](const fleet::AnnouncedVersion &) {},
                 .onOlderVersionsExpired
                 = [this](const fleet::AnnouncedVersion &) { ++versionsExpired; }})
    { }

    std::uint64_t generation() const
    {
        return watch.routes() ? watch.routes()->generation().value() : 0;
    }
};

inline fleet::Bounds bounds()
{
    fleet::Bounds bounds;
    bounds.configuration = bounds.drain = std::chrono::seconds(3);
    bounds.version = std::chrono::seconds(5);
    return bounds;
}

inline json configuration(int version)
{
    return {{"version", version},
            {"routes", json::array()},
            {"services", json::array()},
            {"limits", json::object()}};
}

} // namespace jackdawlead::testsupport
