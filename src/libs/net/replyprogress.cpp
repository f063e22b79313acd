#include "net/replyprogress.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <utility>

namespace jackdawlead::net {

namespace {

// A caller can send further requests while a reply is under way; more than this is left unread.
constexpr std::size_t maxUnreadBytes = 64 * 1024;

} // namespace

std::shared_ptr<ReplyProgress> ReplyProgress::start(evhttp_request *request,
                                                    std::weak_ptr<HttpServerState> server)
{
    evhttp_connection *connection = evhttp_request_get_connection(request);
    auto progress = std::make_shared<ReplyProgress>(connection, std::move(server));
    progress->m_keepAlive = progress;
    if (const auto state = progress->m_server.lock())
        ++state->openReplies;
    evhttp_request_set_on_complete_cb(request, &ReplyProgress::replyWritten, progress.get());
    evhttp_connection_set_closecb(connection, &ReplyProgress::connectionClosed, progress.get());
    progress->watchForClose();
    return progress;
}

ReplyProgress::ReplyProgress(evhttp_connection *connection, std::weak_ptr<HttpServerState> server)
    : m_connection(connection)
    , m_server(std::move(server))
{ }

// libevent stops reading once it has a request, and would report a caller that left only at the
// next write. Reading goes on without a read callback, since libevent accepts no data in this
// state, and without a read time-out, since an answer may take longer than a connection may be
// idle.
void ReplyProgress::watchForClose()
{
    bufferevent *buffer = evhttp_connection_get_bufferevent(m_connection);
    bufferevent_data_cb written = nullptr;
    bufferevent_event_cb failed = nullptr;
    void *argument = nullptr;
    bufferevent_getcb(buffer, nullptr, &written, &failed, &argument);
    bufferevent_setcb(buffer, nullptr, written, failed, argument);
    const auto server = m_server.lock();
    const timeval writeTimeout {server ? server->idleTimeout.count() : 0, 0};
    bufferevent_set_timeouts(buffer, nullptr, server ? &writeTimeout : nullptr);
    bufferevent_setwatermark(buffer, EV_READ, 0, maxUnreadBytes);
    bufferevent_enable(buffer, EV_READ);
}

void ReplyProgress::restoreIdleTimeout()
{
    if (const auto server = m_server.lock()) {
        const timeval timeout {server->idleTimeout.count(), 0};
        bufferevent_set_timeouts(evhttp_connection_get_bufferevent(m_connection), &timeout,
                                 &timeout);
    }
}

void ReplyProgress::closeConnection()
{
    if (m_connection)
        evhttp_connection_free(m_connection); // Calls connectionClosed().
}

void ReplyProgress::replyWritten(evhttp_request *, void *argument)
{
    auto *self = static_cast<ReplyProgress *>(argument);
    evhttp_connection_set_closecb(self->m_connection, nullptr, nullptr);
    self->restoreIdleTimeout();
    self->end();
}

void ReplyProgress::connectionClosed(evhttp_connection *, void *argument)
{
    auto *self = static_cast<ReplyProgress *>(argument);
    const auto handler = std::exchange(self->m_onClosed, nullptr);
    self->end();
    if (handler)
        handler();
}

void ReplyProgress::end()
{
    m_connection = nullptr;
    m_onClosed = nullptr;
    if (const auto state = m_server.lock())
        --state->openReplies;
    m_keepAlive.reset();
}

} // namespace jackdawlead::net
