#include "net/httpclient.h"

#include "core/error.h"
#include "net/guard.h"
#include "net/httpsyntax.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <sys/time.h>

#include <algorithm>
#include <map>
#include <utility>

namespace jackdawlead::net {

namespace {

evhttp_cmd_type methodCode(const std::string &method)
{
    static const std::map<std::string, evhttp_cmd_type> codes {
        {"GET", EVHTTP_REQ_GET},       {"POST", EVHTTP_REQ_POST},   {"PUT", EVHTTP_REQ_PUT},
        {"DELETE", EVHTTP_REQ_DELETE}, {"PATCH", EVHTTP_REQ_PATCH},
    };
    const auto found = codes.find(method);
    return found == codes.end() ? EVHTTP_REQ_GET : found->second;
}

std::uint64_t sizeOf(const Headers &headers)
{
    constexpr std::uint64_t separatorBytes = 4; // Colon, space and line end.
    std::uint64_t size = 0;
    for (const auto &[name, value] : headers.fields())
        size += name.size() + value.size() + separatorBytes;
    return size;
}

// evhttp accepts all that it can split into names, values and a number.
bool isHeadValid(int status, const Headers &headers)
{
    constexpr int lowestStatus = 100;
    constexpr int highestStatus = 599;
    return status >= lowestStatus && status <= highestStatus
        && std::ranges::all_of(headers.fields(),
                               [](const auto &field) { return isFieldName(field.first); })
        && isTransferCodingKnown(headers);
}

constexpr std::uint64_t requestLineBytes = 60; // With the Host and Connection fields.
constexpr std::uint64_t statusLineBytes = 19;
// Above every limit of ours: the timers of this file decide, with one limit for each phase.
constexpr int libraryTimeoutSeconds = 24 * 60 * 60;

} // namespace

class HttpCall::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(EventLoop &loop, TimerService &timers, Address peer, HttpTimeouts timeouts,
                   HttpReplyHandlers handlers, std::shared_ptr<HttpTraffic> traffic)
        : m_loop(loop)
        , m_timers(timers)
        , m_peer(std::move(peer))
        , m_timeouts(timeouts)
        , m_handlers(std::move(handlers))
        , m_traffic(std::move(traffic))
    { }
    ~Implementation() { close(); }
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    void start(const HttpRequest &request)
    {
        m_connection
            = evhttp_connection_base_new(m_loop.base(), nullptr, m_peer.ip.c_str(), m_peer.port);
        evhttp_connection_set_timeout(m_connection, libraryTimeoutSeconds);
        evhttp_request *handle = evhttp_request_new(&Implementation::requestDone, this);
        evhttp_request_set_header_cb(handle, &Implementation::headReceived);
        evhttp_request_set_chunked_cb(handle, &Implementation::dataReceived);
        evhttp_request_set_error_cb(handle, &Implementation::requestFailed);
        evkeyvalq *fields = evhttp_request_get_output_headers(handle);
        evhttp_add_header(fields, "Host", m_peer.toString().c_str());
        evhttp_add_header(fields, "Connection", "close");
        for (const auto &[name, value] : request.headers.fields())
            evhttp_add_header(fields, name.c_str(), value.c_str());
        evbuffer_add(evhttp_request_get_output_buffer(handle), request.body.data(),
                     request.body.size());
        ++m_traffic->calls;
        m_traffic->bytesSent += requestLineBytes + request.method.size() + request.path.size()
            + sizeOf(request.headers) + request.body.size();
        m_keepAlive = shared_from_this();
        m_timer = m_timers.once(m_timeouts.firstByte, [this] { expire("first byte"); });
        const int result = evhttp_make_request(m_connection, handle, methodCode(request.method),
                                               request.path.c_str());
        if (result != 0)
            fail(absl::StatusCode::kUnavailable, "cannot start the request", core::Outcome::NotRun);
    }

    void cancel()
    {
        m_isFinished = true;
        m_handlers = {};
        close();
    }

private:
    static void headReceivedFields(evhttp_request *request, Headers &headers)
    {
        const evkeyvalq *fields = evhttp_request_get_input_headers(request);
        for (const evkeyval *field = fields->tqh_first; field; field = field->next.tqe_next)
            headers.add(field->key, field->value);
    }

    static int headReceived(evhttp_request *request, void *argument)
    {
        auto *self = static_cast<Implementation *>(argument);
        if (self->m_isFinished)
            return 0;
        self->deliver([&] {
            self->restartGapTimer();
            Headers headers;
            headReceivedFields(request, headers);
            self->m_traffic->bytesReceived += statusLineBytes + sizeOf(headers);
            const int status = evhttp_request_get_response_code(request);
            if (!isHeadValid(status, headers))
                self->fail(absl::StatusCode::kUnavailable, "the head of the reply is malformed",
                           core::Outcome::Unknown);
            else if (self->m_handlers.onHead)
                self->m_handlers.onHead(status, headers);
        });
        return 0;
    }

    static void dataReceived(evhttp_request *request, void *argument)
    {
        auto *self = static_cast<Implementation *>(argument);
        self->deliver([&] {
            evbuffer *buffer = evhttp_request_get_input_buffer(request);
            std::string data(evbuffer_get_length(buffer), '\0');
            evbuffer_remove(buffer, data.data(), data.size());
            self->m_traffic->bytesReceived += data.size();
            if (self->m_isFinished)
                return;
            self->restartGapTimer();
            if (self->m_handlers.onData && !data.empty())
                self->m_handlers.onData(data);
        });
    }

    /// Ends the call with an error if `work` throws.
    template <typename Work> void deliver(const Work &work)
    {
        if (!runGuarded("reply", work))
            fail(absl::StatusCode::kInternal, "the reply could not be handled",
                 core::Outcome::Unknown);
    }

    static void requestFailed(evhttp_request_error, void *argument)
    {
        auto *self = static_cast<Implementation *>(argument);
        self->fail(absl::StatusCode::kUnavailable, "connection ended before the reply was complete",
                   core::Outcome::Unknown);
    }

    static void requestDone(evhttp_request *request, void *argument)
    {
        auto *self = static_cast<Implementation *>(argument);
        if (self->m_isFinished)
            return;
        // libevent hands over a request without a status exactly when it could not connect.
        if (!request || evhttp_request_get_response_code(request) == 0) {
            self->fail(absl::StatusCode::kUnavailable,
                       request ? "cannot connect" : "connection ended without a reply",
                       request ? core::Outcome::NotRun : core::Outcome::Unknown);
            return;
        }
        self->finish(absl::OkStatus());
    }

    void restartGapTimer()
    {
        m_timer = m_timers.once(m_timeouts.gap, [this] { expire("next byte"); });
    }

    void expire(const char *what)
    {
        fail(absl::StatusCode::kDeadlineExceeded, std::string("no ") + what + " within the limit",
             core::Outcome::Unknown);
    }

    void fail(absl::StatusCode code, const std::string &message, core::Outcome outcome)
    {
        finish(
            core::withOutcome(core::makeError(code, "http", m_peer.toString(), message), outcome));
    }

    void finish(const absl::Status &status)
    {
        if (m_isFinished)
            return;
        m_isFinished = true;
        m_timer.cancel();
        // The connection is freed, and the handler called, outside libevent's own callback.
        m_loop.post([self = shared_from_this(), status] {
            self->close();
            if (const auto handler = std::exchange(self->m_handlers, {}).onEnd)
                handler(status);
        });
    }

    void close()
    {
        m_timer.cancel();
        if (evhttp_connection *connection = std::exchange(m_connection, nullptr))
            m_loop.post([connection] { evhttp_connection_free(connection); });
        // Cleared from the loop, since this may run inside a callback of the connection.
        if (m_keepAlive)
            m_loop.post([held = std::exchange(m_keepAlive, nullptr)] {});
    }

    EventLoop &m_loop;
    TimerService &m_timers;
    Address m_peer;
    HttpTimeouts m_timeouts;
    HttpReplyHandlers m_handlers;
    evhttp_connection *m_connection = nullptr;
    TimerService::Subscription m_timer;
    std::shared_ptr<Implementation> m_keepAlive;
    std::shared_ptr<HttpTraffic> m_traffic;
    bool m_isFinished = false;
};

HttpCall::HttpCall() = default;

HttpCall::HttpCall(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{ }

HttpCall::HttpCall(HttpCall &&) noexcept = default;

HttpCall &HttpCall::operator=(HttpCall &&other) noexcept
{
    if (this != &other) {
        cancel();
        m_implementation = std::move(other.m_implementation);
    }
    return *this;
}

HttpCall::~HttpCall()
{
    cancel();
}

void HttpCall::cancel()
{
    if (const auto implementation = std::exchange(m_implementation, nullptr))
        implementation->cancel();
}

HttpClient::HttpClient(EventLoop &loop, TimerService &timers)
    : m_loop(loop)
    , m_timers(timers)
{ }

HttpCall HttpClient::stream(const Address &peer, const HttpRequest &request, HttpTimeouts timeouts,
                            HttpReplyHandlers handlers)
{
    auto call = std::make_shared<HttpCall::Implementation>(m_loop, m_timers, peer, timeouts,
                                                           std::move(handlers), m_traffic);
    call->start(request);
    return HttpCall(std::move(call));
}

void HttpClient::send(const Address &peer, const HttpRequest &request, HttpTimeouts timeouts,
                      ResponseHandler handler)
{
    struct Reply
    {
        HttpResponse response;
        HttpCall call;
    };
    auto reply = std::make_shared<Reply>();
    HttpReplyHandlers handlers;
    handlers.onHead = [reply](int status, const Headers &headers) {
        reply->response.status = status;
        reply->response.headers = headers;
    };
    handlers.onData = [reply](std::string_view data) { reply->response.body += data; };
    handlers.onEnd = [reply, handler = std::move(handler)](const absl::Status &status) {
        if (!status.ok())
            handler(status);
        else
            handler(std::move(reply->response));
    };
    reply->call = stream(peer, request, timeouts, std::move(handlers));
}

} // namespace jackdawlead::net
