#pragma once

#include "config/settings.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/timerservice.h"
#include "objectapi/objectclient.h"
#include "observability/metrics.h"

namespace jackdawlead::serving {

/// What every task of one daemon uses; it outlives all of them.
struct Context
{
    const config::Settings &settings;
    net::EventLoop &loop;
    net::TimerService &timers;
    net::HttpClient &http; ///< Requests of callers and orders to endpoints.
    net::HttpClient
        &controlHttp; ///< The platform and other daemons; its bytes are counted as control.
    objectapi::ObjectClient &objects;
    observability::Metrics &metrics;
};

} // namespace jackdawlead::serving
