#pragma once

#include "config/settings.h"
#include "net/httpserver.h"
#include "serving/burntask.h"
#include "serving/callertask.h"
#include "serving/claimtask.h"
#include "serving/configtask.h"
#include "serving/context.h"
#include "serving/dispatcher.h"
#include "serving/fleettask.h"
#include "serving/leasetask.h"
#include "serving/outagetask.h"
#include "serving/ownershiptask.h"
#include "serving/peertask.h"
#include "serving/quarantinetask.h"

#include <absl/status/status.h>

#include <memory>

namespace jackdawlead {

/// Runs the listeners and tasks of one daemon on one event loop. Thread safety: one thread.
class Daemon
{
public:
    explicit Daemon(config::Settings settings);

    /// Binds the listeners and starts all tasks. Errors: kUnavailable with step `listen`.
    absl::Status start();
    /// Runs the event loop until a planned stop has finished.
    void run();
    /// The bound port; chosen by the system where the settings contain 0. Precondition: start()
    /// succeeded.
    std::uint16_t callerPort() const { return m_callerServer.port(); }
    std::uint16_t adminPort() const { return m_adminServer.port(); }

private:
    void catalogChanged(std::shared_ptr<const config::Catalog> catalog);
    void viewChanged(const serving::FleetTask::ViewPtr &view);
    void servePeer(const std::shared_ptr<net::ServerExchange> &exchange);
    void serveAdmin(const std::shared_ptr<net::ServerExchange> &exchange);
    net::HttpResponse status() const;
    bool isReady() const;
    void stop();
    void stopWhenIdle();
    /// Counts the requests that run or have a reply that is not completely written.
    std::size_t unfinishedCount() const;

    config::Settings m_settings;
    net::EventLoop m_loop;
    net::TimerService m_timers;
    net::HttpClient m_http;
    net::HttpClient m_controlHttp;
    objectapi::ObjectClient m_objects;
    observability::Metrics m_metrics;
    serving::Context m_context;

    serving::LeaseTask m_lease;
    serving::PeerTask m_peers;
    serving::OutageTask m_outage;
    serving::QuarantineTask m_quarantine;
    serving::Dispatcher m_dispatcher;
    serving::ClaimTask m_claims;
    serving::CallerTask m_callers;
    serving::OwnershipTask m_ownership;
    serving::ConfigTask m_config;
    serving::FleetTask m_fleet;
    serving::BurnTask m_burn;

    net::HttpServer m_callerServer;
    net::HttpServer m_peerServer;
    net::HttpServer m_adminServer;
    bool m_isStopping = false;
    core::TimePoint m_stopDeadline;
    net::TimerService::Subscription m_stopTimer;
};

} // namespace jackdawlead
