#pragma once

#include "core/time.h"
#include "net/eventloop.h"
#include "net/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

struct bufferevent;

namespace jackdawlead::http {

/// Why a connection is no longer open.
enum class CloseReason {
    EndOfStream,   ///< The peer closed it.
    Reset,         ///< The peer reset it, or the network failed.
    ConnectFailed, ///< It was never open, so that nothing was sent.
};

/// One TCP connection on a loop. Handlers are called from the loop and may destroy the connection.
/// Keep-alive probes and unacknowledged data detect a peer that vanished without closing the
/// connection. A handler that throws ends the connection: it is reported as reset, and the loop
/// continues.
/// Thread safety: the loop's thread only.
class Connection
{
public:
    struct Handlers
    {
        std::function<void()> onConnected;
        std::function<void()> onData;
        std::function<void()> onDrained; ///< All output so far was passed to the kernel.
        std::function<void(CloseReason)> onClosed;
    };

    /// Takes ownership of an accepted socket.
    Connection(net::EventLoop &loop, int socket);
    /// Opens a connection; a failure to connect within `timeout` is reported as ConnectFailed.
    Connection(net::EventLoop &loop, const net::Address &peer, core::Duration timeout);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void setHandlers(Handlers handlers) { m_handlers = std::move(handlers); }
    bool isConnected() const { return m_isConnected; }
    /// The received bytes that are not consumed yet, contiguous.
    std::string_view received();
    std::size_t pendingInput() const;
    void consume(std::size_t size);
    /// Whether bytes have arrived that are not consumed yet, also those that the kernel holds.
    bool hasUnreadInput() const;
    void write(std::string_view bytes);
    std::size_t pendingOutput() const;
    /// Stops or resumes reading; back-pressure from a slow receiver to the sender.
    void setReadEnabled(bool isReading);
    /// Sends the end of the stream after all output is written, and still waits for the peer to
    /// close.
    void shutdownAfterFlush();
    /// Runs `handler` as one of the handlers; the connection ends if it throws.
    void runHandler(const std::function<void()> &handler);

private:
    void setCallbacks();
    void handleEvent(short events);
    void handleDrained();
    void reportClosed(CloseReason reason);
    static void setSocketOptions(int socket, unsigned userTimeoutMilliseconds);

    bufferevent *m_buffer = nullptr;
    Handlers m_handlers;
    bool m_isConnected = false;
    bool m_shutdownWhenDrained = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::http
