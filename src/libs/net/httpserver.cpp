#include "net/httpserver.h"

#include "core/error.h"
#include "net/guard.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstring>

namespace jackdawlead::net {

namespace {

constexpr auto allowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT
    | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH;

const char *methodName(evhttp_cmd_type method)
{
    switch (method) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OTHER";
    }
}

std::string takeAll(evbuffer *buffer)
{
    std::string data(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, data.data(), data.size());
    return data;
}

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    default:
        return status < 400 ? "OK" : "Error";
    }
}

} // namespace

ServerExchange::ServerExchange(EventLoop &loop, evhttp_request *request,
                               std::weak_ptr<HttpServerState> server)
    : m_loop(loop)
    , m_handle(request)
    , m_server(std::move(server))
    , m_progress(ReplyProgress::start(request, m_server))
{
    m_request.method = methodName(evhttp_request_get_command(request));
    m_request.path = evhttp_request_get_uri(request);
    const evkeyvalq *fields = evhttp_request_get_input_headers(request);
    for (const evkeyval *field = fields->tqh_first; field; field = field->next.tqe_next)
        m_request.headers.add(field->key, field->value);
    m_request.body = takeAll(evhttp_request_get_input_buffer(request));
    m_progress->onClosed([this] { connectionClosed(); });
}

ServerExchange::~ServerExchange()
{
    m_progress->onClosed({});
    if (m_server.expired())
        return;
    if (m_state == State::Open)
        respond({.status = 500, .headers = {}, .body = "{\"error\":{\"message\":\"no reply\"}}"});
    else if (m_state == State::Streaming)
        cutStream({});
}

void ServerExchange::endReply()
{
    m_state = State::Done;
    m_progress->onClosed({});
}

void ServerExchange::connectionClosed()
{
    m_peerGone = true;
    if (m_onPeerGone)
        m_loop.post(std::exchange(m_onPeerGone, nullptr));
}

void ServerExchange::addHeaders(const Headers &headers)
{
    evkeyvalq *output = evhttp_request_get_output_headers(m_handle);
    for (const auto &[name, value] : headers.fields())
        evhttp_add_header(output, name.c_str(), value.c_str());
    if (const auto server = m_server.lock(); server && server->isStopping)
        evhttp_add_header(output, "Connection", "close");
}

void ServerExchange::respond(const HttpResponse &response)
{
    if (m_state != State::Open || m_server.expired())
        return;
    endReply();
    addHeaders(response.headers);
    evbuffer *body = evbuffer_new();
    evbuffer_add(body, response.body.data(), response.body.size());
    evhttp_send_reply(m_handle, response.status, reasonPhrase(response.status), body);
    evbuffer_free(body);
}

void ServerExchange::startStream(int status, const Headers &headers)
{
    if (m_state != State::Open || m_server.expired())
        return;
    m_state = State::Streaming;
    addHeaders(headers);
    evhttp_send_reply_start(m_handle, status, reasonPhrase(status));
}

void ServerExchange::write(std::string_view data)
{
    if (m_state != State::Streaming || m_peerGone || data.empty() || m_server.expired())
        return;
    evbuffer *chunk = evbuffer_new();
    evbuffer_add(chunk, data.data(), data.size());
    evhttp_send_reply_chunk(m_handle, chunk);
    evbuffer_free(chunk);
}

void ServerExchange::finishStream()
{
    if (m_state != State::Streaming || m_server.expired())
        return;
    endReply();
    evhttp_send_reply_end(m_handle);
}

void ServerExchange::cutStream(std::string_view lastData)
{
    if (m_state != State::Streaming || m_server.expired())
        return;
    if (m_peerGone) {
        finishStream();
        return;
    }
    endReply();
    if (lastData.empty()) {
        m_loop.post([progress = m_progress] { progress->closeConnection(); });
        return;
    }
    evbuffer *chunk = evbuffer_new();
    evbuffer_add(chunk, lastData.data(), lastData.size());
    evhttp_send_reply_chunk_with_cb(
        m_handle, chunk,
        [](evhttp_connection *written, void *) { evhttp_connection_free(written); }, nullptr);
    evbuffer_free(chunk);
}

HttpServer::HttpServer(EventLoop &loop, HttpServerLimits limits, Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_http(evhttp_new(loop.base()))
{
    evhttp_set_allowed_methods(m_http, allowedMethods);
    evhttp_set_max_headers_size(m_http, static_cast<ev_ssize_t>(limits.maxHeaderBytes));
    evhttp_set_max_body_size(m_http, static_cast<ev_ssize_t>(limits.maxBodyBytes));
    evhttp_set_timeout(m_http, static_cast<int>(limits.idleTimeout.count()));
    m_state->idleTimeout = limits.idleTimeout;
    evhttp_set_gencb(m_http, &HttpServer::handle, this);
}

HttpServer::~HttpServer()
{
    m_state.reset();
    evhttp_free(m_http);
}

absl::Status HttpServer::listen(const Address &address)
{
    m_socket = evhttp_bind_socket_with_handle(m_http, address.ip.c_str(), address.port);
    if (m_socket)
        return absl::OkStatus();
    return core::makeError(absl::StatusCode::kUnavailable, "listen", address.toString(),
                           std::string("cannot listen: ") + std::strerror(errno));
}

std::uint16_t HttpServer::port() const
{
    sockaddr_storage address {};
    socklen_t size = sizeof address;
    if (!m_socket
        || getsockname(evhttp_bound_socket_get_fd(m_socket), reinterpret_cast<sockaddr *>(&address),
                       &size)
            != 0)
        return 0;
    if (address.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<const sockaddr_in6 *>(&address)->sin6_port);
    return ntohs(reinterpret_cast<const sockaddr_in *>(&address)->sin_port);
}

void HttpServer::stopAccepting()
{
    if (m_socket)
        evhttp_del_accept_socket(m_http, m_socket);
    m_socket = nullptr;
    m_state->isStopping = true;
}

void HttpServer::handle(evhttp_request *request, void *argument)
{
    auto *self = static_cast<HttpServer *>(argument);
    // An exchange that is dropped without an answer is answered with 500.
    runGuarded("request", [&] {
        self->m_handler(std::make_shared<ServerExchange>(self->m_loop, request, self->m_state));
    });
}

} // namespace jackdawlead::net
