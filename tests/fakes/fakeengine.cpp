// Stands in for a model engine with adapter slots. It answers with text that depends on the adapter
// and the prompt only, and keeps a record of what it sent under each request id.
// Faults are switched by POST /fake/fault with a JSON object:
//   loads: "ok" or "fail"; crashOn: text in a request body that ends the process;
//   silentOn: text in a request body after which the answer stops for good;
//   wrongModel: name that answers carry instead of the adapter's
#include "fakeoptions.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/timerservice.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace {

using namespace jackdawlead;
using nlohmann::json;
using ExchangePtr = std::shared_ptr<net::ServerExchange>;

struct EngineOptions
{
    std::size_t slots = 4;
    int tokens = 8;
    core::Duration tokenTime {};
    bool checksFencing = false;
    net::Address store;
};

class FakeEngine
{
public:
    FakeEngine(net::TimerService &timers, net::HttpClient &http, EngineOptions options)
        : m_timers(timers)
        , m_http(http)
        , m_options(std::move(options))
        , m_instance(std::to_string(getpid()))
    { }

    void handle(const ExchangePtr &exchange)
    {
        const std::string &path = exchange->request().path;
        if (path == "/v1/load_lora_adapter")
            load(exchange);
        else if (path == "/v1/unload_lora_adapter")
            unload(exchange);
        else if (path == "/v1/models")
            listModels(exchange);
        else if (path == "/metrics")
            writeMetrics(exchange);
        else if (path == "/fake/fault")
            setFault(exchange);
        else if (path == "/fake/record")
            reply(exchange, 200, m_record);
        else
            complete(exchange);
    }

private:
    struct Generation
    {
        ExchangePtr exchange;
        std::string adapter;
        std::string id;
        std::string prompt;
        bool isStream = false;
        int sent = 0;
        std::string text;
        net::TimerService::Subscription timer;
    };
    using GenerationPtr = std::shared_ptr<Generation>;

    static void reply(const ExchangePtr &exchange, int status, const json &body)
    {
        exchange->respond({.status = status,
                           .headers = {{"Content-Type", "application/json"}},
                           .body = body.dump()});
    }

    void setFault(const ExchangePtr &exchange)
    {
        m_fault.update(json::parse(exchange->request().body));
        reply(exchange, 200, m_fault);
    }

    bool isFenced(const net::HttpRequest &request)
    {
        const std::string text = request.headers.value("X-Fencing-Token");
        const std::uint64_t token = text.empty() ? 0 : std::stoull(text);
        if (token < m_highestToken) {
            ++(m_options.checksFencing ? m_staleOrdersRefused : m_staleOrdersAccepted);
            return m_options.checksFencing;
        }
        m_highestToken = std::max(m_highestToken, token);
        return false;
    }

    void load(const ExchangePtr &exchange)
    {
        const json body = json::parse(exchange->request().body, nullptr, false);
        const std::string name = body.value("lora_name", std::string());
        if (isFenced(exchange->request())) {
            reply(exchange, 409, {{"message", "old fencing token"}});
            return;
        }
        if (m_fault["loads"] == "fail") {
            reply(exchange, 500, {{"message", "load failed"}});
            return;
        }
        if (m_adapters.contains(name)) {
            reply(exchange, 200, {{"message", "already loaded"}});
            return;
        }
        if (m_adapters.size() + m_loading >= m_options.slots) {
            reply(exchange, 400, {{"message", "no free adapter slot"}});
            return;
        }
        ++m_loading;
        const net::HttpRequest fetch {
            "GET", "/weights/" + body.value("lora_path", std::string()), {}, {}};
        m_http.send(m_options.store, fetch, {std::chrono::seconds(60), std::chrono::seconds(60)},
                    [this, exchange, name](const auto &weights) {
                        --m_loading;
                        if (!weights.ok() || weights->status != 200) {
                            reply(exchange, 500, {{"message", "weights cannot be read"}});
                            return;
                        }
                        m_adapters.insert(name);
                        ++m_loads;
                        reply(exchange, 200, {{"message", "loaded"}});
                    });
    }

    void unload(const ExchangePtr &exchange)
    {
        const json body = json::parse(exchange->request().body, nullptr, false);
        const std::string name = body.value("lora_name", std::string());
        if (isFenced(exchange->request())) {
            reply(exchange, 409, {{"message", "old fencing token"}});
            return;
        }
        if (m_running[name] > 0)
            ++m_evictionsInUse;
        m_adapters.erase(name);
        reply(exchange, 200, {{"message", "unloaded"}});
    }

    void listModels(const ExchangePtr &exchange)
    {
        json data = json::array();
        for (const std::string &name : m_adapters)
            data.push_back({{"id", name}, {"object", "model"}});
        reply(exchange, 200, {{"object", "list"}, {"data", std::move(data)}});
    }

    void writeMetrics(const ExchangePtr &exchange)
    {
        std::string text = "engine_instance_info{id=\"" + m_instance + "\"} 1\n";
        for (const auto &[name, count] : m_running)
            text
                += "engine_requests_running{lora=\"" + name + "\"} " + std::to_string(count) + "\n";
        text += "engine_loads_total " + std::to_string(m_loads) + "\n";
        text += "engine_stale_orders_refused_total " + std::to_string(m_staleOrdersRefused) + "\n";
        text
            += "engine_stale_orders_accepted_total " + std::to_string(m_staleOrdersAccepted) + "\n";
        text += "engine_evictions_in_use_total " + std::to_string(m_evictionsInUse) + "\n";
        exchange->respond(
            {.status = 200, .headers = {{"Content-Type", "text/plain"}}, .body = text});
    }

    void complete(const ExchangePtr &exchange)
    {
        const net::HttpRequest &request = exchange->request();
        const json body = json::parse(request.body, nullptr, false);
        const std::string crashOn = m_fault["crashOn"];
        if (!crashOn.empty() && request.body.find(crashOn) != std::string::npos)
            std::_Exit(70);
        const std::string adapter = body.is_object() ? body.value("model", "") : "";
        if (!m_adapters.contains(adapter)) {
            reply(exchange, 404, {{"message", "model " + adapter + " is not loaded"}});
            return;
        }
        auto generation = std::make_shared<Generation>();
        generation->exchange = exchange;
        generation->adapter = adapter;
        generation->id = request.headers.value("X-Request-Id");
        generation->prompt = body.contains("messages") ? body["messages"].dump()
                                                       : body.value("prompt", std::string());
        generation->isStream = body.value("stream", false);
        ++m_running[adapter];
        if (generation->isStream)
            exchange->startStream(200, {{"Content-Type", "text/event-stream"}});
        generation->timer
            = m_timers.every(m_options.tokenTime, [this, generation] { step(generation); });
    }

    std::string modelName(const GenerationPtr &generation) const
    {
        const std::string wrong = m_fault["wrongModel"];
        return wrong.empty() ? generation->adapter : wrong;
    }

    void step(const GenerationPtr &generation)
    {
        const std::string silentOn = m_fault["silentOn"];
        const bool isSilent = !silentOn.empty()
            && generation->exchange->request().body.find(silentOn) != std::string::npos;
        if (generation->exchange->isPeerGone() || (isSilent && generation->sent > 1)) {
            if (generation->exchange->isPeerGone())
                end(generation);
            return;
        }
        if (generation->sent == m_options.tokens) {
            finish(generation);
            return;
        }
        const std::size_t seed = std::hash<std::string>()(generation->adapter + generation->prompt);
        const std::string token = "t"
            + std::to_string((seed + static_cast<std::size_t>(generation->sent)) % 9973) + " ";
        ++generation->sent;
        generation->text += token;
        if (generation->isStream)
            generation->exchange->write(
                "data: "
                + json {{"model", modelName(generation)},
                        {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}}
                      .dump()
                + "\n\n");
    }

    void finish(const GenerationPtr &generation)
    {
        if (generation->isStream) {
            generation->exchange->write("data: [DONE]\n\n");
            generation->exchange->finishStream();
        } else {
            const json message {{"role", "assistant"}, {"content", generation->text}};
            reply(
                generation->exchange, 200,
                {{"model", modelName(generation)},
                 {"choices", {{{"index", 0}, {"message", message}, {"text", generation->text}}}}});
        }
        m_record[generation->id] = {{"adapter", generation->adapter}, {"text", generation->text}};
        end(generation);
    }

    void end(const GenerationPtr &generation)
    {
        --m_running[generation->adapter];
        generation->timer.cancel();
    }

    net::TimerService &m_timers;
    net::HttpClient &m_http;
    EngineOptions m_options;
    std::string m_instance;
    std::set<std::string> m_adapters;
    std::map<std::string, int> m_running;
    std::size_t m_loading = 0;
    std::uint64_t m_highestToken = 0;
    int m_loads = 0;
    int m_staleOrdersRefused = 0;
    int m_staleOrdersAccepted = 0;
    int m_evictionsInUse = 0;
    json m_record = json::object();
    json m_fault {{"loads", "ok"}, {"crashOn", ""}, {"silentOn", ""}, {"wrongModel", ""}};
};

} // namespace

int main(int argc, char *argv[])
{
    const auto options = fakes::parseOptions(argc, argv,
                                             {{"port", "7100"},
                                              {"slots", "4"},
                                              {"tokens", "8"},
                                              {"token-ms", "5"},
                                              {"fencing", "0"},
                                              {"store-port", "7000"}});
    net::EventLoop loop;
    net::TimerService timers(loop);
    net::HttpClient http(loop, timers);
    EngineOptions engineOptions;
    engineOptions.slots = static_cast<std::size_t>(fakes::numberOption(options, "slots"));
    engineOptions.tokens = fakes::numberOption(options, "tokens");
    engineOptions.tokenTime = std::chrono::milliseconds(fakes::numberOption(options, "token-ms"));
    engineOptions.checksFencing = fakes::numberOption(options, "fencing") != 0;
    engineOptions.store
        = {"127.0.0.1", static_cast<std::uint16_t>(fakes::numberOption(options, "store-port"))};
    FakeEngine engine(timers, http, engineOptions);
    net::HttpServer server(loop, {}, [&engine](const auto &exchange) { engine.handle(exchange); });
    const auto port = static_cast<std::uint16_t>(fakes::numberOption(options, "port"));
    if (const auto status = server.listen({"127.0.0.1", port}); !status.ok()) {
        std::cerr << std::string(status.message()) << "\n";
        return 1;
    }
    loop.onSignal(15, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
