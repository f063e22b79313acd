#include "http/controlclient.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jackdawlead::http {

namespace {

// To another region connecting takes one round trip of 60 ms; a lost packet delays it by a second.
constexpr core::Duration connectTimeout = std::chrono::milliseconds(1500);
constexpr std::size_t maxIdlePerPeer = 4; ///< Three watches and one other call.
// For the body of a response: a configuration of half a megabyte takes over a second from another
// region while other daemons fetch it as well.
constexpr core::Duration bodyTimeout = std::chrono::seconds(3);
// A timer that fires later than this was delayed by other work of the loop.
constexpr core::Duration timerTolerance = std::chrono::milliseconds(10);
// Multiple of its timeout by which a call may be extended in a process that is always late.
constexpr int maxExtensionFactor = 1;

} // namespace

std::string serialize(const net::HttpRequest &request, const net::Address &peer)
{
    std::string text = absl::StrCat(request.method, " ", request.path, " HTTP/1.1\r\n");
    if (!request.headers.contains("Host"))
        absl::StrAppend(&text, "Host: ", peer.toString(), "\r\n");
    for (const auto &[name, value] : request.headers.fields())
        absl::StrAppend(&text, name, ": ", value, "\r\n");
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
        absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n");
    absl::StrAppend(&text, "\r\n", request.body);
    return text;
}

struct ControlClient::Call
{
    net::Address peer;
    std::unique_ptr<ClientConnection> connection;
    Response response;
    Handler handler;
    std::function<bool(const Response &)> isOwnResponse;
    net::TimerService::Subscription timeout;
    core::Duration extension {}; ///< Of the current timeout.
    core::Duration lateResponseTime {};
    bool isTimedOut = false; ///< The handler knows it; only a success is still reported.
};

ControlClient::ControlClient(net::EventLoop &loop, net::TimerService &timers)
    : m_loop(loop)
    , m_timers(timers)
{ }

ControlClient::~ControlClient()
{
    *m_isAlive = false;
}

IdleConnections &ControlClient::idleConnectionsTo(const net::Address &peer)
{
    return m_idle.try_emplace(peer, m_loop, maxIdlePerPeer).first->second;
}

void ControlClient::call(const net::Address &peer, const net::HttpRequest &request,
                         core::Duration timeout, Handler handler, const Options &options)
{
    ++m_callCount;
    const auto call = std::make_shared<Call>();
    m_calls.push_back(call);
    call->peer = peer;
    call->handler = std::move(handler);
    call->isOwnResponse = options.isOwnResponse;
    call->lateResponseTime = options.lateResponseTime;
    const auto unlimitedIdleTime = [](const ClientConnection &) { return core::Duration::max(); };
    IdleConnections &idle = idleConnectionsTo(peer);
    const std::set<ConnectionNumber> excluded
        = options.needsOwnSuccess ? idle.endedWithEmptySuccess() : std::set<ConnectionNumber>();
    call->connection = idle.take(m_timers.now(), unlimitedIdleTime, excluded);
    if (!call->connection)
        call->connection = std::make_unique<ClientConnection>(m_loop, peer, connectTimeout);
    const std::weak_ptr<Call> weak = call;
    setTimeout(call, timeout);
    ExchangeObserver observer;
    observer.onHead = [this, weak](MessageHead &head) {
        const auto held = weak.lock();
        if (!held)
            return;
        setTimeout(held, bodyTimeout);
        held->response.status = head.status;
        held->response.headers = std::move(head.headers);
    };
    observer.onBody = [this, weak,
                       maxResponseBytes = options.maxResponseBytes](const std::string &bytes) {
        const auto held = weak.lock();
        if (!held)
            return;
        held->response.body.append(bytes);
        if (held->response.body.size() > maxResponseBytes)
            finish(held,
                   core::withOutcome(core::makeError(absl::StatusCode::kResourceExhausted, "call",
                                                     held->peer.toString(),
                                                     absl::StrCat("the response has more than ",
                                                                  maxResponseBytes, " bytes")),
                                     core::Outcome::Unknown));
    };
    observer.onEnd = [this, weak](ExchangeEnd end) {
        const auto held = weak.lock();
        if (!held)
            return;
        if (isComplete(end)) {
            finishWithResponse(held);
            return;
        }
        const bool isNotSent = end == ExchangeEnd::ConnectFailed;
        finish(held,
               core::withOutcome(core::makeError(absl::StatusCode::kUnavailable, "call",
                                                 held->peer.toString(),
                                                 isNotSent ? "cannot connect" : "connection broke"),
                                 isNotSent ? core::Outcome::NotRun : core::Outcome::Unknown));
    };
    OutgoingRequest outgoing;
    outgoing.bytes = serialize(request, peer);
    call->connection->send(outgoing, std::move(observer));
}

void ControlClient::setTimeout(const std::shared_ptr<Call> &call, core::Duration timeout)
{
    call->extension = {};
    armTimeout(call, m_timers.now() + timeout, timeout * maxExtensionFactor);
}

// Time for which the loop was blocked doesn't count against the peer: connecting, sending and
// reading need one loop iteration each, and while iterations took 250 ms every call timed out.
void ControlClient::armTimeout(const std::shared_ptr<Call> &call, core::TimePoint dueAt,
                               core::Duration maxExtension)
{
    const core::Duration remaining = std::max(core::Duration::zero(), dueAt - m_timers.now());
    call->timeout
        = m_timers.once(remaining, [this, dueAt, maxExtension, weak = std::weak_ptr<Call>(call)] {
              const auto held = weak.lock();
              if (!held)
                  return;
              const core::TimePoint now = m_timers.now();
              const core::Duration extension
                  = std::min(now - dueAt, maxExtension - held->extension);
              if (extension > timerTolerance) {
                  held->extension += extension;
                  armTimeout(held, now + extension, maxExtension);
                  return;
              }
              handleTimeout(held);
          });
}

void ControlClient::handleTimeout(const std::shared_ptr<Call> &call)
{
    const absl::Status status = core::makeError(absl::StatusCode::kDeadlineExceeded, "call",
                                                call->peer.toString(), "no answer in time");
    const core::Duration lateTime = std::exchange(call->lateResponseTime, {});
    if (lateTime == core::Duration::zero()) {
        finish(call, status);
        return;
    }
    call->isTimedOut = true;
    setTimeout(call, lateTime);
    call->handler(status);
}

void ControlClient::finishWithResponse(const std::shared_ptr<Call> &call)
{
    if (!call->isOwnResponse || call->isOwnResponse(call->response)) {
        finish(call, std::move(call->response));
        return;
    }
    closeLater(m_loop, std::move(call->connection));
    finish(call,
           core::withOutcome(core::makeError(absl::StatusCode::kUnavailable, "call",
                                             call->peer.toString(), "response to another call"),
                             core::Outcome::Unknown));
}

void ControlClient::finish(const std::shared_ptr<Call> &call, absl::StatusOr<Response> result)
{
    std::erase(m_calls, call);
    call->timeout.cancel();
    const bool isReported = !call->isTimedOut || (result.ok() && result->status == 200);
    auto connection = std::move(call->connection);
    if (!connection) {
        if (isReported)
            call->handler(std::move(result));
        return;
    }
    // One of the connection's callbacks may be running, so it is kept or destroyed from the loop.
    m_loop.post(
        [this, alive = m_isAlive, peer = call->peer,
         held = std::make_shared<std::unique_ptr<ClientConnection>>(std::move(connection))] {
            if (*alive)
                idleConnectionsTo(peer).keep(std::move(*held), m_timers.now());
        });
    if (isReported)
        call->handler(std::move(result));
}

} // namespace jackdawlead::http
