#pragma once

#include "net/eventloop.h"

#include <event2/util.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace jackdawlead::testsupport {

/// The network path of one daemon to one endpoint: relays the connections to a loopback port to
/// another one until a fault interrupts it. Thread safety: the loop's thread only.
class FaultyLink
{
public:
    enum class Fault {
        None,
        Reset,             ///< Open connections are reset, new ones are refused.
        Silent,            ///< Open connections pass nothing on, new ones are not answered at all.
        Refusing,          ///< Open connections live on, new ones are refused.
        AcceptedAndReset,  ///< Open connections are reset, new ones are accepted and reset.
        AcceptedAndSilent, ///< Open connections and new ones, which are accepted, pass nothing on.
    };

    FaultyLink(net::EventLoop &loop, std::uint16_t port, std::uint16_t target);
    ~FaultyLink();
    FaultyLink(const FaultyLink &) = delete;
    FaultyLink &operator=(const FaultyLink &) = delete;

    void setFault(Fault fault);
    /// Calls the handler with what is passed on to the endpoint.
    void setRequestHandler(std::function<void(std::string_view)> onRequest)
    {
        m_onRequest = std::move(onRequest);
    }
    /// Connections that were relayed so far.
    int accepted() const { return m_accepted; }
    std::uint16_t port() const { return m_port; }
    std::uint16_t target() const { return m_target; }

private:
    struct Relayed;

    void listen();
    void stopListening();
    /// Makes the kernel drop the opening packets of new connections.
    void fillBacklog();
    void emptyBacklog();
    void accept(evutil_socket_t socket);
    void resetAll();
    void setReading(Relayed &relayed) const;

    net::EventLoop &m_loop;
    std::uint16_t m_port;
    std::uint16_t m_target;
    Fault m_fault = Fault::None;
    std::function<void(std::string_view)> m_onRequest;
    evconnlistener *m_listener = nullptr;
    std::vector<int> m_backlogSockets; ///< The listener that accepts nothing, then its clients.
    std::list<std::unique_ptr<Relayed>> m_connections;
    int m_accepted = 0;
};

} // namespace jackdawlead::testsupport
