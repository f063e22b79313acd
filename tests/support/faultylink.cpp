#include "support/faultylink.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

namespace jackdawlead::testsupport {

namespace {

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

void setStreamReading(bufferevent *stream, bool isReading)
{
    if (isReading)
        bufferevent_enable(stream, EV_READ);
    else
        bufferevent_disable(stream, EV_READ);
}

} // namespace

struct FaultyLink::Relayed
{
    FaultyLink *link = nullptr;
    bufferevent *daemon = nullptr;
    bufferevent *endpoint = nullptr;

    ~Relayed()
    {
        bufferevent_free(daemon);
        bufferevent_free(endpoint);
    }

    static void received(bufferevent *stream, void *context)
    {
        auto *self = static_cast<Relayed *>(context);
        evbuffer *input = bufferevent_get_input(stream);
        if (stream == self->daemon && self->link->m_onRequest) {
            const std::size_t size = evbuffer_get_length(input);
            const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
            self->link->m_onRequest({bytes, size});
        }
        bufferevent *other = stream == self->daemon ? self->endpoint : self->daemon;
        bufferevent_write_buffer(other, input);
    }

    static void changed(bufferevent *, short events, void *context)
    {
        auto *self = static_cast<Relayed *>(context);
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
        std::erase_if(self->link->m_connections,
                      [self](const auto &entry) { return entry.get() == self; });
    }
};

FaultyLink::FaultyLink(net::EventLoop &loop, std::uint16_t port, std::uint16_t target)
    : m_loop(loop)
    , m_port(port)
    , m_target(target)
{
    listen();
}

FaultyLink::~FaultyLink()
{
    stopListening();
    emptyBacklog();
}

void FaultyLink::listen()
{
    const sockaddr_in address = loopback(m_port);
    m_listener = evconnlistener_new_bind(
        m_loop.base(),
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context) {
            static_cast<FaultyLink *>(context)->accept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (m_listener == nullptr)
        throw std::runtime_error("the link cannot listen");
}

void FaultyLink::stopListening()
{
    if (m_listener != nullptr)
        evconnlistener_free(m_listener);
    m_listener = nullptr;
}

void FaultyLink::accept(evutil_socket_t socket)
{
    ++m_accepted;
    auto relayed = std::make_unique<Relayed>();
    relayed->link = this;
    constexpr int options = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;
    relayed->daemon = bufferevent_socket_new(m_loop.base(), socket, options);
    relayed->endpoint = bufferevent_socket_new(m_loop.base(), -1, options);
    for (bufferevent *stream : {relayed->daemon, relayed->endpoint}) {
        bufferevent_setcb(stream, &Relayed::received, nullptr, &Relayed::changed, relayed.get());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }
    sockaddr_in address = loopback(m_target);
    bufferevent_socket_connect(relayed->endpoint, reinterpret_cast<sockaddr *>(&address),
                               sizeof address);
    setReading(*relayed);
    m_connections.push_back(std::move(relayed));
    if (m_fault == Fault::AcceptedAndReset)
        resetAll();
}

void FaultyLink::resetAll()
{
    const linger immediately {1, 0};
    for (const auto &relayed : m_connections) {
        for (bufferevent *stream : {relayed->daemon, relayed->endpoint})
            setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &immediately,
                       sizeof immediately);
    }
    m_connections.clear();
}

void FaultyLink::setReading(Relayed &relayed) const
{
    const bool isReading = m_fault != Fault::Silent && m_fault != Fault::AcceptedAndSilent;
    setStreamReading(relayed.daemon, isReading);
    setStreamReading(relayed.endpoint, isReading);
}

void FaultyLink::setFault(Fault fault)
{
    // What was accepted meanwhile never reaches the endpoint.
    if (m_fault == Fault::AcceptedAndSilent)
        resetAll();
    m_fault = fault;
    stopListening();
    emptyBacklog();
    if (fault == Fault::Reset || fault == Fault::AcceptedAndReset)
        resetAll();
    for (const auto &relayed : m_connections)
        setReading(*relayed);
    if (fault == Fault::Silent)
        fillBacklog();
    else if (fault != Fault::Reset && fault != Fault::Refusing)
        listen();
}

void FaultyLink::fillBacklog()
{
    const sockaddr_in address = loopback(m_port);
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int isReused = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &isReused, sizeof isReused);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(listener, 0) != 0)
        throw std::runtime_error("the silent link cannot listen");
    m_backlogSockets.push_back(listener);
    constexpr int clients = 4; // The kernel accepts one more than the backlog.
    for (int number = 0; number < clients; ++number) {
        const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        // Does not complete once the backlog is full.
        static_cast<void>(
            connect(client, reinterpret_cast<const sockaddr *>(&address), sizeof address));
        m_backlogSockets.push_back(client);
    }
}

void FaultyLink::emptyBacklog()
{
    for (const int socket : m_backlogSockets)
        close(socket);
    m_backlogSockets.clear();
}

} // namespace jackdawlead::testsupport
