#pragma once

#include "net/eventloop.h"
#include "net/httpmessage.h"
#include "net/timerservice.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jackdawlead::net {

/// Limits of one call. A connection that is silent for longer is closed.
struct HttpTimeouts
{
    core::Duration firstByte = std::chrono::seconds(10);
    core::Duration gap = std::chrono::seconds(10);
};

/// Receives the parts of one reply. onEnd is called exactly once, unless the call is cancelled;
/// its status is OK only if the whole reply was received. A failure to connect carries
/// core::Outcome::NotRun, every other failure core::Outcome::Unknown.
struct HttpReplyHandlers
{
    std::function<void(int status, const Headers &headers)> onHead;
    std::function<void(std::string_view data)> onData;
    std::function<void(const absl::Status &status)> onEnd;
};

/// What a client has sent and received, headers included.
struct HttpTraffic
{
    std::uint64_t calls = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/// One call in progress; destroying it cancels the call without a further callback.
class HttpCall
{
public:
    class Implementation;
    HttpCall();
    explicit HttpCall(std::shared_ptr<Implementation> implementation);
    ~HttpCall();
    HttpCall(HttpCall &&) noexcept;
    HttpCall &operator=(HttpCall &&) noexcept;
    void cancel();

private:
    std::shared_ptr<Implementation> m_implementation;
};

/// Sends requests. Thread safety: the loop's thread only.
class HttpClient
{
public:
    using ResponseHandler = std::function<void(absl::StatusOr<HttpResponse>)>;

    HttpClient(EventLoop &loop, TimerService &timers);

    /// Starts a call whose reply is handed over part by part.
    [[nodiscard]] HttpCall stream(const Address &peer, const HttpRequest &request,
                                  HttpTimeouts timeouts, HttpReplyHandlers handlers);
    /// Starts a call whose whole reply is handed over at its end; it cannot be cancelled.
    void send(const Address &peer, const HttpRequest &request, HttpTimeouts timeouts,
              ResponseHandler handler);

    /// Totals since the start.
    const HttpTraffic &traffic() const { return *m_traffic; }

private:
    EventLoop &m_loop;
    TimerService &m_timers;
    std::shared_ptr<HttpTraffic> m_traffic = std::make_shared<HttpTraffic>();
};

} // namespace jackdawlead::net
