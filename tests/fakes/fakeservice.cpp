// Stands in for a plain service, such as print orders. It counts how often each order was run.
// Faults are switched by POST /fake/fault: mode "ok", "silent" (runs, never answers) or "cut"
// (runs, then closes the connection).
#include "fakeoptions.h"
#include "net/eventloop.h"
#include "net/httpserver.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace {

using namespace jackdawlead;
using nlohmann::json;
using ExchangePtr = std::shared_ptr<net::ServerExchange>;

class FakeService
{
public:
    void handle(const ExchangePtr &exchange)
    {
        const net::HttpRequest &request = exchange->request();
        if (request.path == "/fake/fault") {
            m_mode = json::parse(request.body).value("mode", "ok");
            reply(exchange, {{"mode", m_mode}});
            return;
        }
        if (request.path == "/fake/runs") {
            reply(exchange, m_runs);
            return;
        }
        const std::string key = request.headers.value("Idempotency-Key");
        m_runs[key] = m_runs.value(key, 0) + 1;
        if (m_mode == "silent") {
            m_silent.push_back(exchange);
        } else if (m_mode == "cut") {
            exchange->startStream(200, {});
            exchange->cutStream({});
        } else {
            reply(exchange, {{"order", key}, {"body", request.body}});
        }
    }

private:
    static void reply(const ExchangePtr &exchange, const json &body)
    {
        exchange->respond({.status = 200,
                           .headers = {{"Content-Type", "application/json"}},
                           .body = body.dump()});
    }

    json m_runs = json::object();
    std::string m_mode = "ok";
    std::vector<ExchangePtr> m_silent;
};

} // namespace

int main(int argc, char *argv[])
{
    const auto options = fakes::parseOptions(argc, argv, {{"port", "7200"}});
    net::EventLoop loop;
    FakeService service;
    net::HttpServer server(loop, {},
                           [&service](const auto &exchange) { service.handle(exchange); });
    const auto port = static_cast<std::uint16_t>(fakes::numberOption(options, "port"));
    if (const auto status = server.listen({"127.0.0.1", port}); !status.ok()) {
        std::cerr << std::string(status.message()) << "\n";
        return 1;
    }
    loop.onSignal(15, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
