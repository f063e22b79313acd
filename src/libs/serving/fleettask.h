#pragma once

#include "serving/context.h"
#include "serving/fleetview.h"

#include <functional>
#include <memory>

namespace jackdawlead::serving {

/// Polls the platform's host list and publishes a view of the fleet whenever one was read.
/// While the list is out of reach the last view stays. Thread safety: the loop's thread only.
class FleetTask
{
public:
    using ViewPtr = std::shared_ptr<const FleetView>;
    using Subscriber = std::function<void(ViewPtr)>;

    FleetTask(Context &context, Subscriber subscriber);
    void start();

private:
    void poll();

    Context &m_context;
    objectapi::HostListClient m_client;
    Subscriber m_subscriber;
    net::TimerService::Subscription m_timer;
};

} // namespace jackdawlead::serving
