#pragma once

#include "http/connection.h"
#include "net/eventloop.h"
#include "net/httpmessage.h"
#include "net/timerservice.h"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

struct evconnlistener;

namespace jackdawlead::testsupport {

/// A listener that sends bytes as a test says, whatever HTTP allows. Thread safety: the loop's
/// thread only.
class RawPeer
{
public:
    /// Called with what arrived on a connection.
    using DataHandler = std::function<void(http::Connection &connection, std::string_view bytes)>;

    RawPeer(net::EventLoop &loop, const net::Address &address, DataHandler onData);
    ~RawPeer();
    RawPeer(const RawPeer &) = delete;
    RawPeer &operator=(const RawPeer &) = delete;

    int accepted() const { return m_accepted; }
    /// Connections that their other end has not closed yet.
    std::size_t open() const { return m_connections.size(); }
    bool isOpen(const http::Connection &connection) const;

private:
    void accept(int socket);

    net::EventLoop &m_loop;
    DataHandler m_onData;
    evconnlistener *m_listener = nullptr;
    std::list<std::unique_ptr<http::Connection>> m_connections;
    int m_accepted = 0;
};

/// Writes the same bytes over and over to one connection, as fast as they are taken, until the
/// connection is closed. Thread safety: the loop's thread only.
class EndlessWriter
{
public:
    EndlessWriter(net::TimerService &timers, std::string bytes);

    /// `isOpen` is asked before the connection is used.
    void start(http::Connection &connection, std::function<bool()> isOpen);
    std::size_t written() const { return m_written; }

private:
    net::TimerService &m_timers;
    std::string m_bytes;
    std::size_t m_written = 0;
    net::TimerService::Subscription m_timer;
};

} // namespace jackdawlead::testsupport
