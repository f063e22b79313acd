// A request that crashes runners comes again while daemons are restarted one after the other.

#include "engine.h"

#include <cstdio>

namespace {

using namespace lab;
constexpr int daemonCount = 3;
constexpr int runnerCount = 6;
constexpr int streamEvents = 20;
constexpr milliseconds eventPause {30};
constexpr milliseconds runnerDownTime {4000};
constexpr milliseconds attemptPause {700};
constexpr milliseconds graceTime {8000};
constexpr double stableWindow = 4.0;
constexpr std::size_t allowedRetries = 3;
constexpr char poisonBody[] = "poison";

struct Observed
{
    std::mutex mutex;
    std::vector<double> crashes;
    std::vector<double> runs;
    int cutStreams = 0;
};

class Case
{
public:
    explicit Case(const std::string &recordPath)
        : m_record(recordPath)
        , m_store(freeAddress(freshIp()))
    {
        m_store.put("config", "main", streamConfiguration({1000, 400}));
        for (int index = 0; index < runnerCount; ++index)
            m_engines.push_back(std::make_unique<Engine>(
                m_store, "models", zone(index),
                [this](Engine &engine, Connection &connection, const Message &request) {
                    return work(engine, connection, request);
                }));
        for (int index = 0; index < daemonCount; ++index)
            m_daemons.push_back(std::make_unique<Daemon>("front-" + std::to_string(index + 1),
                                                         zone(index), m_store.address(), m_folder));
    }

    ~Case()
    {
        m_isStopped = true;
        for (std::thread &thread : m_callers)
            thread.join();
        m_daemons.clear();
        m_engines.clear();
        removeFolder(m_folder);
    }

    int run()
    {
        for (const auto &daemon : m_daemons) {
            if (!waitUntilReady(*daemon))
                return 2;
        }
        pause(6000); // The holder of the lease may give orders, and all daemons know each other.
        for (const auto &daemon : m_daemons)
            m_callers.emplace_back([this, &daemon = *daemon] { callInTurn(daemon); });
        pause(2000);
        // The request comes until all daemons refuse it.
        for (int attempt = 0; attempt < 6; ++attempt)
            sendPoison(*m_daemons[attempt % daemonCount]);
        if (isTroubled() && count(m_observed.crashes) < 3)
            return 2;
        pause(6000);
        for (const auto &daemon : m_daemons) {
            m_record.line("SIGTERM to " + daemon->name());
            const bool hasEnded = daemon->stop(graceTime);
            m_record.line(daemon->name() + (hasEnded ? " ended" : " was killed after its grace"));
            pause(500);
            daemon->startAgain();
            if (!waitUntilReady(*daemon))
                return 2;
            m_record.line(daemon->name() + " is ready again");
            pause(5500); // Longer than the stable window.
            for (int attempt = 0; attempt < 3; ++attempt)
                sendPoison(*daemon);
        }
        return judge();
    }

private:
    static std::string zone(int index) { return "z" + std::to_string(1 + index % 3); }
    static void pause(int time) { std::this_thread::sleep_for(milliseconds(time)); }

    std::size_t count(const std::vector<double> &times)
    {
        const std::lock_guard lock(m_observed.mutex);
        return times.size();
    }

    static bool waitUntilReady(const Daemon &daemon)
    {
        for (int attempt = 0; attempt < 300; ++attempt) {
            if (daemon.isReady())
                return true;
            pause(50);
        }
        return false;
    }

    bool work(Engine &engine, Connection &connection, const Message &request)
    {
        if (request.body != poisonBody)
            return engine.stream(connection, request, streamEvents, eventPause);
        const std::string id = engine.id();
        {
            const std::lock_guard lock(m_observed.mutex);
            m_observed.runs.push_back(m_record.now());
        }
        m_record.line("runner " + id + " begins to run " + request.header("request-id"));
        if (!isTroubled())
            return engine.stream(connection, request, streamEvents, eventPause);
        std::this_thread::sleep_for(milliseconds(20));
        {
            const std::lock_guard lock(m_observed.mutex);
            m_observed.crashes.push_back(m_record.now());
        }
        m_record.line("runner " + id + " crashes");
        engine.crash();
        engine.restartAfter(runnerDownTime);
        return false;
    }

    void sendPoison(const Daemon &daemon)
    {
        const std::string id = randomId();
        m_record.line("client sends " + id + " to " + daemon.name());
        const Answer answer = send(daemon.front(), streamRequest("/draft/p", id, poisonBody, 8000),
                                   milliseconds(9000));
        m_record.line("client gets " + std::to_string(answer.status) + " for " + id
                      + (answer.isComplete ? "" : ", not complete"));
        std::this_thread::sleep_for(attemptPause);
    }

    void callInTurn(const Daemon &daemon)
    {
        while (!m_isStopped) {
            const std::string id = randomId();
            const Answer answer
                = send(daemon.front(), streamRequest("/draft/x", id, "body-" + id, 8000),
                       milliseconds(9000));
            if (answer.status == 200 && !answer.isComplete) {
                const std::lock_guard lock(m_observed.mutex);
                ++m_observed.cutStreams;
            }
            std::this_thread::sleep_for(milliseconds(answer.status == 200 ? 50 : 300));
        }
    }

    int judge()
    {
        const std::lock_guard lock(m_observed.mutex);
        std::size_t late = 0;
        for (const double run : m_observed.runs) {
            if (m_observed.crashes.size() >= 3 && run > m_observed.crashes[2] + stableWindow)
                ++late;
        }
        char text[200];
        std::snprintf(text, sizeof text,
                      "runs of the request %zu, crashes %zu, runs later than 4 s after the third "
                      "crash %zu, at most %zu are allowed; other streams cut %d",
                      m_observed.runs.size(), m_observed.crashes.size(), late, allowedRetries,
                      m_observed.cutStreams);
        m_record.line(text);
        std::puts(text);
        return late > allowedRetries ? 1 : 0;
    }

    Record m_record;
    Observed m_observed;
    std::string m_folder = makeFolder();
    Store m_store;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::thread> m_callers;
    std::atomic<bool> m_isStopped = false;
};

} // namespace

int main(int argc, char *argv[])
{
    if (argc != 2)
        return 2;
    try {
        Case test(argv[1]);
        return test.run();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
