#pragma once

#include "net/eventloop.h"
#include "net/httpmessage.h"
#include "net/replyprogress.h"

#include <absl/status/status.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

struct evhttp;
struct evhttp_request;
struct evhttp_bound_socket;

namespace jackdawlead::net {

struct HttpServerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::seconds idleTimeout {60};
};

/// One request on a server and its reply. Exactly one reply is sent: either respond(), or
/// startStream(), any number of write() and one of finishStream() and cutStream().
/// Thread safety: the loop's thread only.
class ServerExchange
{
public:
    /// `server` is expired once the server is destroyed; the request is then not touched any more.
    ServerExchange(EventLoop &loop, evhttp_request *request, std::weak_ptr<HttpServerState> server);
    ~ServerExchange();
    ServerExchange(const ServerExchange &) = delete;
    ServerExchange &operator=(const ServerExchange &) = delete;

    const HttpRequest &request() const { return m_request; }
    bool isReplied() const { return m_state != State::Open; }
    /// Whether a stream was started and not yet ended.
    bool isStreaming() const { return m_state == State::Streaming; }
    /// Whether the caller closed the connection before the reply was complete.
    bool isPeerGone() const { return m_peerGone; }

    void respond(const HttpResponse &response);
    void startStream(int status, const Headers &headers);
    void write(std::string_view data);
    void finishStream();
    /// Closes the connection without the end mark, so that the caller sees an incomplete answer.
    /// `lastData` is sent first.
    void cutStream(std::string_view lastData);
    /// Calls `handler` when the caller closes the connection before the reply is complete.
    void onPeerGone(std::function<void()> handler) { m_onPeerGone = std::move(handler); }

private:
    enum class State { Open, Streaming, Done };
    void connectionClosed();
    void addHeaders(const Headers &headers);
    void endReply();

    EventLoop &m_loop;
    evhttp_request *m_handle;
    std::weak_ptr<HttpServerState> m_server;
    std::shared_ptr<ReplyProgress> m_progress;
    HttpRequest m_request;
    State m_state = State::Open;
    bool m_peerGone = false;
    std::function<void()> m_onPeerGone;
};

/// An HTTP listener. Thread safety: the loop's thread only.
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

    HttpServer(EventLoop &loop, HttpServerLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts to listen. Errors: kUnavailable with step `listen` if the address cannot be bound.
    absl::Status listen(const Address &address);
    /// The port that is listened on; chosen by the system if listen() was given port 0.
    std::uint16_t port() const;
    /// Stops accepting connections; running exchanges go on. Every reply that starts from now on
    /// closes its connection, so that its caller connects elsewhere for the next request.
    void stopAccepting();
    /// Requests whose reply was not yet written to its last byte and whose caller is still there.
    std::size_t openReplyCount() const { return m_state->openReplies; }

private:
    static void handle(evhttp_request *request, void *argument);

    EventLoop &m_loop;
    Handler m_handler;
    evhttp *m_http;
    std::shared_ptr<HttpServerState> m_state = std::make_shared<HttpServerState>();
    evhttp_bound_socket *m_socket = nullptr;
};

} // namespace jackdawlead::net
