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
    EndOfStream,   ///< The peer closed it in order.
    Reset,         ///< The peer, or the network, broke it.
    ConnectFailed, ///< It was never open, so that nothing was sent.
};

/// One TCP connection on a loop. Handlers are called from the loop and may destroy the connection.
/// A peer that vanished without a word is noticed by keep-alive probes and by unacknowledged data.
/// A handler that throws ends the connection: it is reported as reset, and the loop goes on.
/// Thread safety: the loop's thread only.
class Connection
{
public:
    struct Handlers
    {
        std::function<void()> onConnected;
        std::function<void()> onData;
        std::function<void()> onDrained; ///< All bytes written so far were handed to the kernel.
        std::function<void(CloseReason)> onClosed;
    };

    /// Takes over an accepted socket.
    Connection(net::EventLoop &loop, int socket);
    /// Opens a connection; its end within `timeout` is reported as ConnectFailed.
    Connection(net::EventLoop &loop, const net::Address &peer, core::Duration timeout);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void setHandlers(Handlers handlers) { m_handlers = std::move(handlers); }
    bool isConnected() const { return m_isConnected; }
    /// The bytes received and not yet consumed, in one piece.
    std::string_view received();
    void consume(std::size_t size);
    void write(std::string_view bytes);
    std::size_t pendingOutput() const;
    /// Stops or resumes reading, so that a slow receiver slows the sender down.
    void setReadEnabled(bool isReading);
    /// Sends the end of the stream once all output is written; the peer's end is still awaited.
    void shutdownAfterFlush();
    /// Runs `work` as one of the handlers, with the same end if it throws.
    void runHandler(const std::function<void()> &work);

private:
    void attach();
    void handleEvent(short events);
    void handleDrained();
    void reportClosed(CloseReason reason);
    static void applyProbes(int socket);

    bufferevent *m_buffer = nullptr;
    Handlers m_handlers;
    bool m_isConnected = false;
    bool m_shutdownWhenDrained = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::http
