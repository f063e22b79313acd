#pragma once

#include "http/messageparser.h"
#include "net/timerservice.h"
#include "support/rawpeer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jackdawlead::testsupport {

/// A fake endpoint that answers each request with the bytes that a test writes, whatever HTTP
/// allows. Requests must arrive in one piece. Thread safety: the loop's thread only.
class RawEndpoint
{
public:
    RawEndpoint(net::EventLoop &loop, std::string id, std::uint16_t port);

    /// The entry that the endpoint writes to the store.
    nlohmann::json record(const std::string &service) const;
    /// Answers a client's request; report requests and orders are answered by the class itself.
    std::function<void(http::Connection &connection, const http::MessageHead &head)> run;
    /// If not empty, the answer to report requests.
    std::string reportBody;
    int reports = 0; ///< Report requests so far.
    /// Heads of the requests that were passed to `run`, in their order.
    std::vector<http::MessageHead> heads;
    std::string id;
    std::uint16_t port;

    /// Number of connections that were accepted so far.
    int accepted() const { return m_peer.accepted(); }

    /// A stamped head for the request; `framing` holds its further fields.
    static std::string stampedHead(const http::MessageHead &head, const std::string &framing = {});
    /// Writes the bytes and closes the connection regularly.
    static void writeAndClose(http::Connection &connection, const std::string &bytes);

private:
    void handleData(http::Connection &connection, std::string_view bytes);

    RawPeer m_peer;
};

} // namespace jackdawlead::testsupport
