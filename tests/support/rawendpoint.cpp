#include "support/rawendpoint.h"

#include <utility>

namespace jackdawlead::testsupport {

namespace {

using nlohmann::json;

const json models = json::array({{{"name", "base"}, {"version", 1}, {"adapters", json::array()}}});

std::string formatResponse(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

RawEndpoint::RawEndpoint(net::EventLoop &loop, std::string name, std::uint16_t listenPort)
    : id(std::move(name))
    , port(listenPort)
    , m_peer(loop, {"127.0.0.1", listenPort},
             [this](http::Connection &connection, std::string_view bytes) {
                 handleData(connection, bytes);
             })
{ }

json RawEndpoint::record(const std::string &service) const
{
    return {{"service", service}, {"address", "127.0.0.1:" + std::to_string(port)},
            {"zone", "z1"},       {"version", "v1"},
            {"slots", 8},         {"state", "ready"},
            {"born", 1},          {"seq", 0},
            {"models", models}};
}

std::string RawEndpoint::stampedHead(const http::MessageHead &head, const std::string &framing)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + head.headers.value("Request-Id")
        + "\r\nResponse-Stamp: stamp\r\n" + framing + "\r\n";
}

void RawEndpoint::writeAndClose(http::Connection &connection, const std::string &bytes)
{
    connection.write(bytes);
    connection.shutdownAfterFlush();
}

void RawEndpoint::handleData(http::Connection &connection, std::string_view bytes)
{
    http::MessageParser parser(http::MessageParser::Kind::Request);
    parser.feed(bytes);
    if (!parser.isComplete())
        return;
    const http::MessageHead &head = parser.head();
    if (head.target == "/-/report") {
        ++reports;
        const json report {{"born", 1}, {"seq", 0}, {"busy", false}, {"models", models}};
        connection.write(formatResponse(reportBody.empty() ? report.dump() : reportBody));
        return;
    }
    if (head.target == "/-/order") {
        connection.write("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    if (head.target == "/health") {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    heads.push_back(head);
    run(connection, head);
}

} // namespace jackdawlead::testsupport
