#include "http/controlclient.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jackdawlead::http {

namespace {

// A region away a connection takes one round trip of 60 ms; a lost packet costs one more second.
constexpr core::Duration connectTimeout = std::chrono::milliseconds(1500);
constexpr std::size_t maxIdlePerPeer = 4; ///< Three watches and one for other calls.
// For the rest of an answer that has begun: a configuration of half a megabyte takes over a second
// from another region while other daemons fetch it as well.
constexpr core::Duration bodyTimeout = std::chrono::seconds(3);
// A timer that runs later than this was held up by other work of the loop.
constexpr core::Duration usualDelay = std::chrono::milliseconds(10);
// Bounds how long a call may last in a process that is always late, in times of its timeout.
constexpr int longestExtension = 1;
// The store's answers have about a megabyte, the views of the largest deployment half of one; a
// peer that sends more may never end.
constexpr std::size_t maxAnswerBytes = 8 * 1024 * 1024;

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
    Response answer;
    Handler handler;
    net::TimerService::Subscription timeout;
    core::Duration extension {}; ///< Of the present timeout.
};

ControlClient::ControlClient(net::EventLoop &loop, net::TimerService &timers)
    : m_loop(loop)
    , m_timers(timers)
{ }

ControlClient::~ControlClient()
{
    *m_isAlive = false;
}

IdleConnections &ControlClient::idleTo(const net::Address &peer)
{
    return m_idle.try_emplace(peer, m_loop, maxIdlePerPeer).first->second;
}

void ControlClient::call(const net::Address &peer, const net::HttpRequest &request,
                         core::Duration timeout, Handler handler)
{
    ++m_callCount;
    const auto call = std::make_shared<Call>();
    m_calls.push_back(call);
    call->peer = peer;
    call->handler = std::move(handler);
    const auto isAnyAge = [](const ClientConnection &) { return core::Duration::max(); };
    call->connection = idleTo(peer).take(m_timers.now(), isAnyAge);
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
        held->answer.status = head.status;
        held->answer.headers = std::move(head.headers);
    };
    observer.onBody = [this, weak](const std::string &bytes) {
        const auto held = weak.lock();
        if (!held)
            return;
        held->answer.body.append(bytes);
        if (held->answer.body.size() > maxAnswerBytes)
            finish(
                held,
                core::withOutcome(core::makeError(absl::StatusCode::kResourceExhausted, "call",
                                                  held->peer.toString(), "the answer is too large"),
                                  core::Outcome::Unknown));
    };
    observer.onEnd = [this, weak](ExchangeEnd end) {
        const auto held = weak.lock();
        if (!held)
            return;
        if (end == ExchangeEnd::Complete) {
            finish(held, std::move(held->answer));
            return;
        }
        const bool isUnsent = end == ExchangeEnd::ConnectFailed;
        finish(held,
               core::withOutcome(core::makeError(absl::StatusCode::kUnavailable, "call",
                                                 held->peer.toString(),
                                                 isUnsent ? "cannot connect" : "connection broke"),
                                 isUnsent ? core::Outcome::NotRun : core::Outcome::Unknown));
    };
    OutgoingRequest outgoing;
    outgoing.bytes = serialize(request, peer);
    call->connection->send(outgoing, std::move(observer));
}

void ControlClient::setTimeout(const std::shared_ptr<Call> &call, core::Duration timeout)
{
    call->extension = {};
    waitUntil(call, m_timers.now() + timeout, timeout * longestExtension);
}

// Time for which the loop was busy elsewhere is not the peer's: connecting, sending and reading
// take a turn of the loop each, and while turns took 250 ms every call ended unanswered.
void ControlClient::waitUntil(const std::shared_ptr<Call> &call, core::TimePoint dueAt,
                              core::Duration mostExtension)
{
    const core::Duration left = std::max(core::Duration::zero(), dueAt - m_timers.now());
    call->timeout
        = m_timers.once(left, [this, dueAt, mostExtension, weak = std::weak_ptr<Call>(call)] {
              const auto held = weak.lock();
              if (!held)
                  return;
              const core::TimePoint now = m_timers.now();
              const core::Duration extension
                  = std::min(now - dueAt, mostExtension - held->extension);
              if (extension > usualDelay) {
                  held->extension += extension;
                  waitUntil(held, now + extension, mostExtension);
                  return;
              }
              finish(held,
                     core::makeError(absl::StatusCode::kDeadlineExceeded, "call",
                                     held->peer.toString(), "no answer in time"));
          });
}

void ControlClient::finish(const std::shared_ptr<Call> &call, absl::StatusOr<Response> result)
{
    std::erase(m_calls, call);
    call->timeout.cancel();
    auto connection = std::move(call->connection);
    // The connection may be on the stack above, so it is kept or destroyed from the loop.
    m_loop.post(
        [this, alive = m_isAlive, peer = call->peer,
         held = std::make_shared<std::unique_ptr<ClientConnection>>(std::move(connection))] {
            if (*alive)
                idleTo(peer).keep(std::move(*held), m_timers.now());
        });
    call->handler(std::move(result));
}

} // namespace jackdawlead::http
