#include "gateway/forwardedrequests.h"

#include "gateway/forwardingfields.h"
#include "observability/log.h"
#include "platform/endpointcodec.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

namespace {

constexpr std::size_t maxUnsentBytes = 64 * 1024;
// An endpoint that sent something this recently is reachable without a new connection.
constexpr core::Duration recentContact = std::chrono::milliseconds(200);
constexpr core::Duration tickPeriod = std::chrono::milliseconds(50);
// The oldest of the kept ticks is three periods old at most while the process runs.
constexpr core::Duration suspensionGap = tickPeriod * 5;
constexpr int notSentStatus = 503;
constexpr int brokenStatus = 502;
constexpr int noContentStatus = 204;
constexpr int notModifiedStatus = 304;

void respondWithOutcome(http::ServerExchange &exchange, int status, const char *outcome)
{
    net::Headers fields {{forwarding::outcomeField, outcome}};
    const std::string id = exchange.head.headers.value(platform::requestIdField());
    if (!id.empty())
        fields.add(platform::requestIdField(), id);
    exchange.respond(status, std::move(fields), {});
}

// RFC 9112, 6.3: answers without body end with their head, whether or not they state a length.
bool isCloseDelimited(const http::MessageHead &head, bool isHeadRequest)
{
    const bool hasNoBody
        = isHeadRequest || head.status == noContentStatus || head.status == notModifiedStatus;
    return !hasNoBody && !head.isDelimited();
}

} // namespace

struct ForwardedRequests::Request
{
    std::shared_ptr<http::ServerExchange> exchange;
    core::EndpointId endpoint;
    std::unique_ptr<http::ClientConnection> connection;
    bool hasHead = false;
};

struct ForwardedRequests::Check
{
    std::shared_ptr<http::ServerExchange> exchange;
    std::unique_ptr<http::ClientConnection> connection;
    net::TimerService::Subscription timeout;
};

struct ForwardedRequests::AnswerCheck
{
    std::shared_ptr<http::ServerExchange> exchange;
    std::unique_ptr<EndpointProbe> probe;
    net::TimerService::Subscription timeout;
};

ForwardedRequests::ForwardedRequests(net::EventLoop &loop, net::TimerService &timers,
                                     FleetWatch &watch, EndpointPool &pool,
                                     decisions::BufferBudget &buffers,
                                     observability::GatewayMetrics &metrics, Handlers handlers)
    : m_loop(loop)
    , m_timers(timers)
    , m_watch(watch)
    , m_pool(pool)
    , m_buffers(buffers)
    , m_metrics(metrics)
    , m_handlers(std::move(handlers))
    , m_ticker(timers.every(tickPeriod, [this] {
        std::rotate(m_latestTicks.begin(), m_latestTicks.begin() + 1, m_latestTicks.end());
        m_latestTicks.back() = m_timers.now();
    }))
{
    m_latestTicks.fill(timers.now());
}

ForwardedRequests::~ForwardedRequests()
{
    *m_isAlive = false;
    for (const auto &request : m_requests)
        request->connection->abandon();
}

bool ForwardedRequests::serve(const std::shared_ptr<http::ServerExchange> &exchange)
{
    if (exchange->head.target == forwarding::requestPath)
        serveRequest(exchange);
    else if (exchange->head.target == forwarding::checkPath)
        serveCheck(exchange);
    else
        return false;
    return true;
}

const char *ForwardedRequests::rejectionCause(const fleet::Endpoint *endpoint) const
{
    if (endpoint == nullptr || endpoint->isLeaving)
        return forwarding::notServing;
    if (m_handlers.isStopping() || m_requests.size() >= forwarding::maxForwardedRequests
        || m_buffers.isLargePartUsed())
        return forwarding::busy;
    return m_handlers.isInterrupted(endpoint->id) ? forwarding::interrupted : nullptr;
}

void ForwardedRequests::serveRequest(const std::shared_ptr<http::ServerExchange> &exchange)
{
    const core::EndpointId id(exchange->head.headers.value(forwarding::endpointField));
    const fleet::Endpoint *endpoint = m_watch.endpoint(id);
    if (const char *cause = rejectionCause(endpoint); cause != nullptr) {
        respondWithOutcome(*exchange, notSentStatus, cause);
        return;
    }
    // The calling daemon has not checked the key, and endpoints must not receive it.
    if (m_watch.hasCustomers() && platform::hasKeyField(exchange->body)) {
        observability::log(
            {.step = "refuse",
             .message = "another daemon hands in a request with a customer's key; it is of an "
                        "earlier release or has an older configuration",
             .peer = id.value(),
             .request = exchange->head.headers.value(platform::requestIdField())});
        respondWithOutcome(*exchange, notSentStatus, forwarding::busy);
        return;
    }
    if (!platform::shortenDeadline(exchange->body, maxWait(*exchange))) {
        respondWithOutcome(*exchange, notSentStatus, forwarding::busy);
        return;
    }
    const auto request = std::make_shared<Request>();
    request->exchange = exchange;
    request->endpoint = id;
    m_requests.insert(request);
    m_metrics.recordForwardedForPeer();
    send(request, *endpoint);
}

core::Duration ForwardedRequests::maxWait(const http::ServerExchange &exchange) const
{
    const core::TimePoint now = m_timers.now();
    // What arrives during a suspension is read a few iterations of the event loop after it, since
    // its connection is accepted first. When it arrived is unknown, so the longest wait is assumed.
    if (now - m_latestTicks.front() > suspensionGap)
        return now - std::min(exchange.receivedAt, m_latestTicks.front());
    return now - exchange.receivedAt;
}

void ForwardedRequests::send(const std::shared_ptr<Request> &request,
                             const fleet::Endpoint &endpoint)
{
    const net::Headers &fields = request->exchange->head.headers;
    http::OutgoingRequest outgoing;
    outgoing.bytes = std::exchange(request->exchange->body, {});
    outgoing.isHead = fields.contains(forwarding::headField);
    outgoing.idField = platform::requestIdField();
    outgoing.id = fields.value(platform::requestIdField());
    const std::weak_ptr<Request> weak = request;
    http::ExchangeObserver observer;
    observer.onHead = [weak, isHead = outgoing.isHead](http::MessageHead &head) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->hasHead = true;
        net::Headers answer = platform::forwardedResponseHeaders(head);
        answer.set(forwarding::outcomeField, forwarding::answered);
        if (isCloseDelimited(head, isHead))
            answer.set(forwarding::closeDelimitedField, "1");
        self->exchange->startChunked(head.status, answer);
    };
    observer.onBody = [weak](const std::string &bytes) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->exchange->writeChunk(bytes);
        if (self->exchange->pendingOutput() >= maxUnsentBytes)
            self->connection->setReadEnabled(false);
    };
    observer.onEnd = [this, weak](http::ExchangeEnd end) {
        if (const auto self = weak.lock())
            handleEnd(self, end);
    };
    request->exchange->setDrainedHandler([weak] {
        if (const auto self = weak.lock(); self && self->connection)
            self->connection->setReadEnabled(true);
    });
    request->exchange->setDisconnectHandler([this, alive = m_isAlive, weak] {
        if (const auto self = weak.lock(); self && *alive)
            handleDisconnect(self);
    });
    const bool isRepeatable = fields.contains(forwarding::repeatableField);
    request->connection = m_pool.take(endpoint, !isRepeatable, {});
    request->connection->setReadEnabled(true);
    request->connection->send(outgoing, std::move(observer));
}

void ForwardedRequests::handleEnd(const std::shared_ptr<Request> &request, http::ExchangeEnd end)
{
    m_pool.giveBack(request->endpoint, std::move(request->connection));
    m_requests.erase(request);
    if (http::isComplete(end)) {
        m_pool.recordActivity(request->endpoint);
        request->exchange->finishChunked();
    } else if (end == http::ExchangeEnd::ConnectFailed) {
        respondWithOutcome(*request->exchange, notSentStatus, forwarding::unreachable);
    } else if (request->hasHead) {
        request->exchange->abort();
    } else {
        respondWithOutcome(*request->exchange, brokenStatus, forwarding::broken);
    }
}

void ForwardedRequests::handleDisconnect(const std::shared_ptr<Request> &request)
{
    request->connection->abandon();
    m_pool.giveBack(request->endpoint, std::move(request->connection));
    m_requests.erase(request);
}

void ForwardedRequests::serveCheck(const std::shared_ptr<http::ServerExchange> &exchange)
{
    const core::EndpointId id(exchange->head.headers.value(forwarding::endpointField));
    const fleet::Endpoint *endpoint = m_watch.endpoint(id);
    if (const char *cause = rejectionCause(endpoint); cause != nullptr) {
        respondWithOutcome(*exchange, notSentStatus, cause);
        return;
    }
    if (exchange->head.headers.contains(forwarding::answerRequiredField))
        checkAnswer(exchange, *endpoint);
    else if (m_timers.now() - m_pool.lastActivityAt(id) <= recentContact)
        exchange->respond(200, {}, {});
    else
        checkConnection(exchange, *endpoint);
}

void ForwardedRequests::checkConnection(const std::shared_ptr<http::ServerExchange> &exchange,
                                        const fleet::Endpoint &endpoint)
{
    const auto check = std::make_shared<Check>();
    check->exchange = exchange;
    check->connection = m_pool.connect(endpoint);
    m_checks.insert(check);
    // The handlers run in a later event loop iteration, because the connection is on the stack.
    const auto finish = [this, alive = m_isAlive, id = endpoint.id,
                         weak = std::weak_ptr<Check>(check)](bool isConnected) {
        m_loop.post([this, alive, id, weak, isConnected] {
            const auto self = weak.lock();
            if (!*alive || !self || m_checks.erase(self) == 0)
                return;
            if (isConnected) {
                self->exchange->respond(200, {}, {});
                m_pool.giveBack(id, std::move(self->connection));
            } else {
                respondWithOutcome(*self->exchange, notSentStatus, forwarding::unreachable);
                http::closeLater(m_loop, std::move(self->connection));
            }
        });
    };
    check->connection->setConnectHandler(finish);
    check->timeout = m_timers.once(forwarding::checkTime, [finish] { finish(false); });
}

// The endpoint may have become silent since its latest answer, so that a new one is needed.
void ForwardedRequests::checkAnswer(const std::shared_ptr<http::ServerExchange> &exchange,
                                    const fleet::Endpoint &endpoint)
{
    const auto &routes = m_watch.routes();
    const auto *service = routes ? routes->service(endpoint.service) : nullptr;
    const auto check = std::make_shared<AnswerCheck>();
    check->exchange = exchange;
    const auto finish = [this, weak = std::weak_ptr<AnswerCheck>(check)](const char *outcome) {
        const auto self = weak.lock();
        if (!self || m_answerChecks.erase(self) == 0)
            return;
        const bool isAnswered = outcome == forwarding::answered;
        respondWithOutcome(*self->exchange, isAnswered ? 200 : notSentStatus, outcome);
    };
    check->probe = std::make_unique<EndpointProbe>(
        m_loop, m_pool, endpoint, service,
        [finish, weak = std::weak_ptr<AnswerCheck>(check)](EndpointProbe::Result result) {
            const auto self = weak.lock();
            const bool isAnswered
                = self && result == EndpointProbe::Result::Answered && self->probe->isAsking();
            const bool isRefused = result == EndpointProbe::Result::Refused;
            finish(isAnswered ? forwarding::answered
                              : (isRefused ? forwarding::unreachable : forwarding::silent));
        });
    check->timeout = m_timers.once(forwarding::checkTime, [finish] { finish(forwarding::silent); });
    m_answerChecks.insert(check);
}

} // namespace jackdawlead::gateway
