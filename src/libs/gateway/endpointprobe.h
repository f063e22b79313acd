#pragma once

#include "fleet/configuration.h"
#include "gateway/endpointpool.h"

#include <functional>
#include <memory>

namespace jackdawlead::gateway {

/// Asks an endpoint for its contents or its health over a new connection, to learn whether this
/// daemon reaches it. An open connection does not show that, because something on the way to the
/// endpoint may have accepted it. Its connection is closed afterwards: the question has no id, so
/// that a late second answer to it could be taken for that to the next request. Thread safety: the
/// event loop's thread only.
class EndpointProbe
{
public:
    enum class Result {
        Answered,
        Refused, ///< No connection could be opened.
        Broken,  ///< A connection was open and ended without a valid answer.
    };
    using Handler = std::function<void(Result)>;

    /// Calls the handler once from the loop; not if the endpoint stays silent or the probe is
    /// destroyed before. Precondition: `loop` outlives the probe. If the endpoint has nothing to
    /// ask for, an open connection counts as an answer.
    EndpointProbe(net::EventLoop &loop, const EndpointPool &pool, const fleet::Endpoint &endpoint,
                  const fleet::ServiceSpec *service, Handler handler);
    ~EndpointProbe();
    EndpointProbe(const EndpointProbe &) = delete;
    EndpointProbe &operator=(const EndpointProbe &) = delete;

    /// Whether the endpoint has something to be asked for.
    bool isAsking() const { return m_isAsking; }
    /// Whether the connection is open and the endpoint has been asked.
    bool isAsked() const { return m_isAsking && m_connection && m_connection->mayHaveSent(); }

private:
    void finish(Result result);

    net::EventLoop &m_loop;
    Handler m_handler;
    std::unique_ptr<http::ClientConnection> m_connection;
    bool m_isAsking = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
