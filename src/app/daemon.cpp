#include "daemon.h"

#include "core/error.h"
#include "observability/log.h"
#include "serving/callerreply.h"
#include "serving/peerforward.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include <csignal>
#include <set>

namespace jackdawlead {

namespace {

constexpr core::Duration idleCheckPeriod = std::chrono::milliseconds(50);

net::HttpServerLimits serverLimits(const config::Settings &settings)
{
    return {.maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes)};
}

bool hasCredential(const net::HttpRequest &request, const std::string &credential)
{
    const std::string actual = request.headers.value("Authorization");
    const std::string expected = "Bearer " + credential;
    // Compares in constant time, so that the duration does not reveal how much of a guess is
    // correct.
    return actual.size() == expected.size()
        && CRYPTO_memcmp(actual.data(), expected.data(), expected.size()) == 0;
}

void rejectCredential(net::ServerExchange &exchange)
{
    const absl::Status status
        = core::withOutcome(core::makeError(absl::StatusCode::kUnauthenticated, "authenticate",
                                            "caller", "credential is missing or wrong"),
                            core::Outcome::NotRun);
    exchange.respond(serving::refusalResponse(status, {}));
}

} // namespace

Daemon::Daemon(config::Settings settings)
    : m_settings(std::move(settings))
    , m_timers(m_loop)
    , m_http(m_loop, m_timers)
    , m_controlHttp(m_loop, m_timers)
    , m_objects(m_controlHttp, {m_settings.objectApiIp, m_settings.objectApiPort})
    , m_metrics(serving::objectivesOf(m_settings))
    , m_context {m_settings, m_loop, m_timers, m_http, m_controlHttp, m_objects, m_metrics}
    , m_lease(m_context)
    , m_peers(m_context,
              {.viewChanged = [this](const auto &view) { viewChanged(view); },
               .mergeFact = [this](const decisions::Fact &fact) { m_quarantine.mergeFact(fact); },
               .generationSeen
               = [this](core::Generation generation,
                        const core::HostId &host) { m_config.generationSeen(generation, host); }})
    , m_outage(m_context, m_peers, m_lease)
    , m_quarantine(m_context, [this](const decisions::Fact &fact) { m_peers.announce(fact, true); })
    , m_dispatcher(m_context, m_lease, m_outage, m_quarantine, [this] { m_ownership.resync(); })
    , m_claims(m_context)
    , m_callers(m_context, m_dispatcher, m_claims, m_quarantine)
    , m_ownership(m_context, m_lease, m_outage,
                  [this](const serving::OwnerMap &owners) { m_dispatcher.ownersChanged(owners); })
    , m_config(m_context, m_peers, [this](auto catalog) { catalogChanged(std::move(catalog)); })
    , m_fleet(m_context,
              [this](const serving::FleetTask::ViewPtr &view) {
                  m_outage.fleetChanged(*view);
                  m_peers.fleetChanged(view);
              })
    , m_burn(m_context)
    , m_callerServer(m_loop, serverLimits(m_settings),
                     [this](auto exchange) { m_callers.accept(std::move(exchange)); })
    , m_peerServer(m_loop, serverLimits(m_settings),
                   [this](const auto &exchange) { servePeer(exchange); })
    , m_adminServer(m_loop, serverLimits(m_settings),
                    [this](const auto &exchange) { serveAdmin(exchange); })
{ }

absl::Status Daemon::start()
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto listen = [this](net::HttpServer &server, std::uint16_t port) {
        return server.listen({m_settings.listenIp, port});
    };
    if (absl::Status status = listen(m_adminServer, m_settings.adminPort); !status.ok())
        return status;
    if (absl::Status status = listen(m_peerServer, m_settings.peerPort); !status.ok())
        return status;
    if (absl::Status status = listen(m_callerServer, m_settings.callerPort); !status.ok())
        return status;
    m_loop.onSignal(SIGTERM, [this] { stop(); });
    m_loop.onSignal(SIGINT, [this] { stop(); });
    m_lease.onAnswer([this](const absl::Status &status, core::TimePoint sentAt) {
        m_outage.apiAnswered(status, sentAt);
    });
    m_lease.start([this] { m_ownership.leaseRegained(); });
    m_peers.start();
    m_outage.start();
    m_config.start();
    m_fleet.start();
    m_burn.start();
    m_ownership.start();
    observability::log({.step = "start", .message = "daemon started"});
    return absl::OkStatus();
}

void Daemon::run()
{
    m_loop.run();
}

void Daemon::viewChanged(const serving::FleetTask::ViewPtr &view)
{
    m_ownership.fleetChanged(view);
    m_dispatcher.fleetChanged(view);
}

void Daemon::catalogChanged(std::shared_ptr<const config::Catalog> catalog)
{
    m_peers.announceGeneration(catalog->generation());
    std::set<core::PoolId> engines;
    for (const config::Pool &pool : catalog->manifest().pools)
        if (pool.kind == config::PoolKind::Engine)
            engines.insert(pool.name);
    m_ownership.enginesChanged(std::move(engines));
    m_dispatcher.catalogChanged(catalog);
    m_callers.catalogChanged(std::move(catalog));
}

void Daemon::servePeer(const std::shared_ptr<net::ServerExchange> &exchange)
{
    if (!hasCredential(exchange->request(), m_settings.peerCredential)) {
        rejectCredential(*exchange);
        return;
    }
    if (exchange->request().path == "/peer/v1/rpc") {
        m_peers.server().serve(exchange);
        return;
    }
    auto request = serving::requestFromPeer(exchange->request(), m_timers.now());
    if (!request.ok()) {
        exchange->respond(serving::refusalResponse(request.status(), {}));
        return;
    }
    const core::RequestId id = request->id;
    request->sink.onHead = [exchange](int status, const net::Headers &headers) {
        exchange->startStream(status, headers);
    };
    request->sink.onData = [exchange](std::string_view data) { exchange->write(data); };
    request->sink.onEnd = [exchange, id](const absl::Status &status) {
        exchange->onPeerGone({});
        if (status.ok())
            exchange->finishStream();
        else if (exchange->isStreaming())
            exchange->cutStream({});
        else
            exchange->respond(serving::refusalResponse(status, id));
    };
    const core::EndpointId endpoint(
        exchange->request().headers.value(serving::peerprotocol::endpointHeader));
    exchange->onPeerGone(m_dispatcher.runHere(endpoint, *std::move(request)));
}

void Daemon::serveAdmin(const std::shared_ptr<net::ServerExchange> &exchange)
{
    const std::string &path = exchange->request().path;
    if (path == "/healthz") {
        exchange->respond({.status = 200, .headers = {}, .body = "ok\n"});
        return;
    }
    if (path == "/readyz") {
        exchange->respond({.status = isReady() ? 200 : 503,
                           .headers = {},
                           .body = isReady() ? "ready\n" : "not ready\n"});
        return;
    }
    if (!hasCredential(exchange->request(), m_settings.adminCredential)) {
        rejectCredential(*exchange);
        return;
    }
    if (path == "/metrics") {
        m_metrics.setObjectApiCalls(m_objects.callCount());
        m_metrics.setControlBytes(m_controlHttp.traffic().bytesSent,
                                  m_controlHttp.traffic().bytesReceived);
        exchange->respond({.status = 200,
                           .headers = {{"Content-Type", "text/plain"}},
                           .body = m_metrics.render()});
        return;
    }
    if (path == "/admin/v1/status") {
        exchange->respond(status());
        return;
    }
    if (path == "/admin/v1/burn") {
        exchange->respond({.status = 200,
                           .headers = {{"Content-Type", "application/json"}},
                           .body = m_burn.report().dump()});
        return;
    }
    if (path == "/admin/v1/drain" && exchange->request().method == "POST") {
        exchange->respond({.status = 200, .headers = {}, .body = "{\"draining\":true}"});
        stop();
        return;
    }
    exchange->respond({.status = 404, .headers = {}, .body = "{\"error\":\"no such path\"}"});
}

bool Daemon::isReady() const
{
    return !m_isStopping && m_config.current() != nullptr;
}

net::HttpResponse Daemon::status() const
{
    nlohmann::json owned = nlohmann::json::array();
    for (const auto &[endpoint, owner] : m_ownership.owners())
        if (owner.holder == m_settings.host)
            owned.push_back(endpoint.value());
    const auto &catalog = m_config.current();
    const nlohmann::json body {
        {"host", m_settings.host.value()},
        {"generation", catalog ? catalog->generation().value() : 0},
        {"release", catalog ? catalog->manifest().release : ""},
        {"ready", isReady()},
        {"leaseValid", m_lease.isValid()},
        {"ownedEndpoints", std::move(owned)},
        {"stopping", m_isStopping},
        {"runningRequests", m_callers.runningCount() + m_dispatcher.runningCount()}};
    return {.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

void Daemon::stop()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    observability::log({.step = "stop", .message = "planned stop started"});
    m_stopDeadline = m_timers.now() + m_settings.drainTimeout;
    m_callers.drain();
    m_callerServer.stopAccepting();
    m_peers.announceLeaving();
    m_dispatcher.drain();
    m_ownership.releaseAll(
        [this] { m_stopTimer = m_timers.every(idleCheckPeriod, [this] { stopWhenIdle(); }); });
}

std::size_t Daemon::unfinishedCount() const
{
    return m_callers.runningCount() + m_dispatcher.runningCount() + m_callerServer.openReplyCount()
        + m_peerServer.openReplyCount() + m_adminServer.openReplyCount();
}

void Daemon::stopWhenIdle()
{
    const std::size_t unfinished = unfinishedCount();
    if (unfinished > 0 && m_timers.now() < m_stopDeadline)
        return;
    if (unfinished > 0)
        observability::log({.level = observability::LogLevel::Error,
                            .step = "stop",
                            .message = "drainTimeoutMs has expired; requests aborted: "
                                + std::to_string(unfinished)});
    m_stopTimer.cancel();
    m_lease.release([this] {
        observability::log({.step = "stop", .message = "stopped"});
        m_loop.stop();
    });
}

} // namespace jackdawlead
