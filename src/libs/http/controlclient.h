#pragma once

#include "http/clientconnection.h"
#include "http/idleconnections.h"
#include "net/timerservice.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jackdawlead::http {

/// A complete HTTP response.
struct Response
{
    int status = 0;
    net::Headers headers;
    std::string body;
};

/// HTTP client for control calls: to the store, to endpoints (reports and orders) and to other
/// daemons. Connections are kept for the next call. Thread safety: the loop's thread only.
class ControlClient
{
public:
    /// Errors: kUnavailable with Outcome::NotRun if nothing was sent, else Outcome::Unknown;
    /// kDeadlineExceeded, and kResourceExhausted for a response that is too large, with
    /// Outcome::Unknown.
    using Handler = std::function<void(absl::StatusOr<Response>)>;

    ControlClient(net::EventLoop &loop, net::TimerService &timers);
    ~ControlClient();
    ControlClient(const ControlClient &) = delete;
    ControlClient &operator=(const ControlClient &) = delete;

    struct Options
    {
        /// Responses of the store have about a megabyte, the views of the largest deployment half
        /// of one. The limit stops a response without end.
        std::size_t maxResponseBytes = 8UL * 1024 * 1024;
        /// A late second copy of an earlier response must not be taken for the success of this
        /// call; connections on which that could happen are not used for it.
        bool needsOwnSuccess = false;
        /// Whether a response can be that to this call; empty if any can. Another one is the copy
        /// of an earlier response: the call fails with kUnavailable and Outcome::Unknown, and its
        /// connection is closed, because the own response would be taken for that to the next call.
        std::function<bool(const Response &)> isOwnResponse {};
        /// How long a response is still awaited after the call has timed out; the handler is called
        /// a second time if it arrives with status 200.
        core::Duration lateResponseTime {};
    };

    /// Sends `request` and calls `handler` from the loop, once unless the options tell otherwise.
    /// The response must begin within `timeout` and end within three seconds after that; both times
    /// are extended by the time for which the loop was blocked, to twice as much at most.
    /// Destroying the client drops the call.
    void call(const net::Address &peer, const net::HttpRequest &request, core::Duration timeout,
              Handler handler, const Options &options);
    void call(const net::Address &peer, const net::HttpRequest &request, core::Duration timeout,
              Handler handler)
    {
        call(peer, request, timeout, std::move(handler), Options());
    }
    std::uint64_t callCount() const { return m_callCount; }

private:
    struct Call;

    IdleConnections &idleConnectionsTo(const net::Address &peer);
    void setTimeout(const std::shared_ptr<Call> &call, core::Duration timeout);
    void handleTimeout(const std::shared_ptr<Call> &call);
    void armTimeout(const std::shared_ptr<Call> &call, core::TimePoint dueAt,
                    core::Duration maxExtension);
    void finishWithResponse(const std::shared_ptr<Call> &call);
    /// Keeps the connection for further calls, unless it was closed, and reports the result.
    void finish(const std::shared_ptr<Call> &call, absl::StatusOr<Response> result);

    net::EventLoop &m_loop;
    net::TimerService &m_timers;
    std::map<net::Address, IdleConnections> m_idle;
    std::list<std::shared_ptr<Call>> m_calls;
    std::uint64_t m_callCount = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

/// Formats head and body of a request for `peer`. Thread safety: any thread.
std::string serialize(const net::HttpRequest &request, const net::Address &peer);

} // namespace jackdawlead::http
