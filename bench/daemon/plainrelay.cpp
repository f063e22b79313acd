// The baseline of the daemon benchmark: forwards each request to one target and returns its answer,
// with the same HTTP library as the daemon and no other processing.
#include "fakeoptions.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/timerservice.h"

#include <csignal>
#include <memory>

using namespace jackdawlead;

namespace {

void relay(net::HttpClient &client, const net::Address &target,
           const std::shared_ptr<net::ServerExchange> &exchange)
{
    net::HttpReplyHandlers handlers;
    handlers.onHead = [exchange](int status, const net::Headers &headers) {
        exchange->startStream(status, {{"Content-Type", headers.value("Content-Type")}});
    };
    handlers.onData = [exchange](std::string_view data) { exchange->write(data); };
    auto call = std::make_shared<net::HttpCall>();
    handlers.onEnd = [exchange, call](const absl::Status &) { exchange->finishStream(); };
    const net::HttpRequest &request = exchange->request();
    *call = client.stream(target,
                          {.method = request.method,
                           .path = request.path,
                           .headers = {{"Content-Type", "application/json"}},
                           .body = request.body},
                          {}, std::move(handlers));
}

} // namespace

int main(int argc, char *argv[])
{
    const auto options = fakes::parseOptions(argc, argv, {{"port", "0"}, {"target-port", "0"}});
    std::signal(SIGPIPE, SIG_IGN);
    net::EventLoop loop;
    net::TimerService timers(loop);
    net::HttpClient client(loop, timers);
    const net::Address target {
        "127.0.0.1", static_cast<std::uint16_t>(fakes::numberOption(options, "target-port"))};
    net::HttpServer server(loop, {},
                           [&](const auto &exchange) { relay(client, target, exchange); });
    const auto port = static_cast<std::uint16_t>(fakes::numberOption(options, "port"));
    if (!server.listen({"127.0.0.1", port}).ok())
        return 1;
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
