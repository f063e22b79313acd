// Sends streamed requests with a fixed number of concurrent streams and prints one line of JSON:
// counts, percentiles of the time to the first token and of the whole answer in milliseconds,
// tokens a second.
#include "fakeoptions.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/timerservice.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <vector>

using namespace jackdawlead;

namespace {

struct Options
{
    net::Address target;
    int streams = 1;
    int requests = 1;
    int adapters = 1;
    std::uint64_t seed = 1;
};

class LoadGenerator
{
public:
    LoadGenerator(net::EventLoop &loop, net::HttpClient &client, Options options)
        : m_loop(loop)
        , m_client(client)
        , m_options(std::move(options))
        , m_random(m_options.seed)
    { }

    void start()
    {
        m_startedAt = m_loop.now();
        for (int stream = 0; stream < m_options.streams; ++stream)
            sendNext();
    }

    nlohmann::json result()
    {
        const double seconds = std::chrono::duration<double>(m_loop.now() - m_startedAt).count();
        return {{"streams", m_options.streams},
                {"requests", m_firstTokens.size()},
                {"failed", m_failed},
                {"firstTokenMsP50", percentile(m_firstTokens, 0.50)},
                {"firstTokenMsP99", percentile(m_firstTokens, 0.99)},
                {"answerMsP50", percentile(m_answers, 0.50)},
                {"answerMsP99", percentile(m_answers, 0.99)},
                {"tokens", m_tokens},
                {"tokensPerSecond", static_cast<double>(m_tokens) / seconds},
                {"requestsPerSecond", static_cast<double>(m_firstTokens.size()) / seconds},
                {"seconds", seconds}};
    }

private:
    struct Request
    {
        core::TimePoint sentAt;
        bool hasFirstToken = false;
        int status = 0;
        net::HttpCall call;
    };

    static double percentile(std::vector<double> &values, double share)
    {
        if (values.empty())
            return 0;
        std::ranges::sort(values);
        const auto lastIndex = static_cast<double>(values.size() - 1);
        return values[static_cast<std::size_t>(share * lastIndex)];
    }

    double msSince(core::TimePoint time) const
    {
        return std::chrono::duration<double, std::milli>(m_loop.now() - time).count();
    }

    void sendNext()
    {
        if (m_sent == m_options.requests)
            return;
        ++m_sent;
        auto request = std::make_shared<Request>();
        request->sentAt = m_loop.now();
        net::HttpReplyHandlers handlers;
        handlers.onHead = [request](int status, const net::Headers &) { request->status = status; };
        handlers.onData = [this, request](std::string_view data) { handleData(*request, data); };
        handlers.onEnd
            = [this, request](const absl::Status &status) { handleEnd(*request, status); };
        std::uniform_int_distribution<int> adapter(1, m_options.adapters);
        const nlohmann::json body {{"model", "adapter-" + std::to_string(adapter(m_random)) + "@1"},
                                   {"stream", true},
                                   {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
        request->call = m_client.stream(m_options.target,
                                        {.method = "POST",
                                         .path = "/v1/chat/completions",
                                         .headers = {{"Authorization", "Bearer caller-secret"},
                                                     {"Content-Type", "application/json"}},
                                         .body = body.dump()},
                                        {std::chrono::seconds(60), std::chrono::seconds(60)},
                                        std::move(handlers));
    }

    void handleData(Request &request, std::string_view data)
    {
        if (request.status != 200)
            return;
        if (!std::exchange(request.hasFirstToken, true))
            m_firstTokens.push_back(msSince(request.sentAt));
        for (std::size_t at = data.find("data: {"); at != std::string_view::npos;
             at = data.find("data: {", at + 1))
            ++m_tokens;
    }

    void handleEnd(const Request &request, const absl::Status &status)
    {
        if (status.ok() && request.status == 200)
            m_answers.push_back(msSince(request.sentAt));
        else
            ++m_failed;
        if (static_cast<int>(m_answers.size()) + m_failed == m_options.requests)
            m_loop.stop();
        else
            sendNext();
    }

    net::EventLoop &m_loop;
    net::HttpClient &m_client;
    Options m_options;
    std::mt19937_64 m_random;
    core::TimePoint m_startedAt;
    int m_sent = 0;
    int m_failed = 0;
    std::int64_t m_tokens = 0;
    std::vector<double> m_firstTokens;
    std::vector<double> m_answers;
};

} // namespace

int main(int argc, char *argv[])
{
    const auto values = fakes::parseOptions(
        argc, argv,
        {{"port", "0"}, {"streams", "1"}, {"requests", "100"}, {"adapters", "1"}, {"seed", "1"}});
    std::signal(SIGPIPE, SIG_IGN);
    Options options;
    options.target = {"127.0.0.1", static_cast<std::uint16_t>(fakes::numberOption(values, "port"))};
    options.streams = fakes::numberOption(values, "streams");
    options.requests = fakes::numberOption(values, "requests");
    options.adapters = fakes::numberOption(values, "adapters");
    options.seed = static_cast<std::uint64_t>(fakes::numberOption(values, "seed"));
    net::EventLoop loop;
    net::TimerService timers(loop);
    net::HttpClient client(loop, timers);
    LoadGenerator generator(loop, client, options);
    generator.start();
    loop.run();
    std::cout << generator.result().dump() << "\n";
    return 0;
}
