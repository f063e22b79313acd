#pragma once

#include "decisions/bufferbudget.h"
#include "gateway/endpointpool.h"
#include "gateway/endpointprobe.h"
#include "gateway/fleetwatch.h"
#include "http/server.h"
#include "observability/gatewaymetrics.h"

#include <array>
#include <functional>
#include <memory>
#include <unordered_set>

namespace jackdawlead::gateway {

/// Sends requests to endpoints for daemons that don't reach them, and returns the answers as they
/// arrive. The calling daemon chooses the endpoint, counts the request and decides about retries;
/// this one only owns the connections. A request that was handed in is never passed on again.
/// Thread safety: the event loop's thread only.
class ForwardedRequests
{
public:
    struct Handlers
    {
        /// Whether this daemon itself reaches the endpoint only through another one.
        std::function<bool(const core::EndpointId &)> isInterrupted;
        std::function<bool()> isStopping;
    };

    ForwardedRequests(net::EventLoop &loop, net::TimerService &timers, FleetWatch &watch,
                      EndpointPool &pool, decisions::BufferBudget &buffers,
                      observability::GatewayMetrics &metrics, Handlers handlers);
    ~ForwardedRequests();
    ForwardedRequests(const ForwardedRequests &) = delete;
    ForwardedRequests &operator=(const ForwardedRequests &) = delete;

    /// Handles a message of another daemon; returns false if it concerns no endpoint.
    bool serve(const std::shared_ptr<http::ServerExchange> &exchange);
    std::size_t inProgress() const { return m_requests.size(); }

private:
    struct Request;
    struct Check;
    struct AnswerCheck;

    void serveRequest(const std::shared_ptr<http::ServerExchange> &exchange);
    void serveCheck(const std::shared_ptr<http::ServerExchange> &exchange);
    void checkConnection(const std::shared_ptr<http::ServerExchange> &exchange,
                         const fleet::Endpoint &endpoint);
    void checkAnswer(const std::shared_ptr<http::ServerExchange> &exchange,
                     const fleet::Endpoint &endpoint);
    /// Why the request is not sent; nullptr if it can be.
    const char *rejectionCause(const fleet::Endpoint *endpoint) const;
    /// How long the request may have waited in this daemon and its sockets.
    core::Duration maxWait(const http::ServerExchange &exchange) const;
    void send(const std::shared_ptr<Request> &request, const fleet::Endpoint &endpoint);
    void handleEnd(const std::shared_ptr<Request> &request, http::ExchangeEnd end);
    void handleDisconnect(const std::shared_ptr<Request> &request);

    net::EventLoop &m_loop;
    net::TimerService &m_timers;
    FleetWatch &m_watch;
    EndpointPool &m_pool;
    decisions::BufferBudget &m_buffers;
    observability::GatewayMetrics &m_metrics;
    Handlers m_handlers;
    std::unordered_set<std::shared_ptr<Request>> m_requests;
    std::unordered_set<std::shared_ptr<Check>> m_checks;
    std::unordered_set<std::shared_ptr<AnswerCheck>> m_answerChecks;
    std::array<core::TimePoint, 3> m_latestTicks; ///< The oldest one first.
    net::TimerService::Subscription m_ticker;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
