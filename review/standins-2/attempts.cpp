// Runners lose answers of requests that they ran; the route allows two runners for a request.

#include "engine.h"

#include <cstdio>
#include <set>

namespace {

using namespace lab;

constexpr int runnerCount = 10;
constexpr int lossyRunners = 6;    // 0.6 of the runners.
constexpr double lossyShare = 0.4; // Of the requests that each of them ran.
constexpr int plainRequests = 100; // Before the others, and answered.
constexpr int observedRequests = 6;
constexpr int windows = 6;
constexpr milliseconds calmTime {6000}; // Between two windows.
constexpr std::size_t maxAttempts = 2;  // Of the route.
constexpr std::size_t allowedRequests = 3;
constexpr milliseconds disruptionTime {6000};
constexpr milliseconds clientPatience {3200}; // Four times the objective.
constexpr milliseconds quietTime {1700};      // No runner sends anything.
constexpr int events = 6;
constexpr milliseconds eventPause {20};
constexpr char observedBody[] = "observed";

class Case
{
public:
    explicit Case(const std::string &recordPath)
        : m_record(recordPath)
        , m_store(freeAddress(freshIp()))
    {
        m_store.put("config", "main", streamConfiguration({800, 250}));
        for (int index = 0; index < runnerCount; ++index) {
            m_engines.push_back(std::make_unique<Engine>(
                m_store, "models", "z1",
                [this, index](Engine &engine, Connection &connection, const Message &request) {
                    return work(index, engine, connection, request);
                }));
        }
        m_daemon = std::make_unique<Daemon>("front-1", "z1", m_store.address(), m_folder);
    }

    ~Case()
    {
        m_daemon.reset();
        m_engines.clear();
        removeFolder(m_folder);
    }

    int run()
    {
        for (int attempt = 0; !m_daemon->isReady(); ++attempt) {
            if (attempt == 300)
                return 2;
            std::this_thread::sleep_for(milliseconds(50));
        }
        std::this_thread::sleep_for(milliseconds(6000));
        for (int window = 0; window < windows; ++window) {
            if (window > 0)
                std::this_thread::sleep_for(calmTime);
            if (!playWindow())
                return 2;
        }
        return judge();
    }

private:
    struct Counts
    {
        int runs = 0;
        int lost = 0;
    };

    /// Returns false if the requests took longer than the disruption may last.
    bool playWindow()
    {
        m_isDisrupted = isTroubled();
        m_record.line(m_isDisrupted ? "answers are lost from now on" : "no disruption");
        const auto end = Clock::now() + disruptionTime;
        sendAll(plainRequests, "plain");
        std::this_thread::sleep_for(quietTime);
        sendAll(observedRequests, observedBody);
        m_isDisrupted = false;
        m_record.line("no more answers are lost");
        for (int index = 0; index < lossyRunners; ++index) {
            const std::lock_guard lock(m_mutex);
            const Counts counts = std::exchange(m_counts[index], {});
            m_record.line("a runner lost the answers of " + std::to_string(counts.lost) + " of "
                          + std::to_string(counts.runs) + " requests");
        }
        return Clock::now() <= end;
    }

    /// Whether the runner may lose the answer that it makes now.
    bool mayLose(int index)
    {
        const std::lock_guard lock(m_mutex);
        Counts &counts = m_counts[index];
        ++counts.runs;
        if (!m_isDisrupted || index >= lossyRunners || counts.lost + 1 > lossyShare * counts.runs)
            return false;
        ++counts.lost;
        return true;
    }

    bool work(int index, Engine &engine, Connection &connection, const Message &request)
    {
        const std::string id = request.header("request-id");
        std::size_t number = 0;
        {
            const std::lock_guard lock(m_mutex);
            std::set<std::string> &runners = m_runners[id];
            runners.insert(engine.id());
            number = runners.size();
        }
        const bool isObserved = request.body == observedBody;
        if (!isObserved || number > maxAttempts) {
            countRun(index);
            if (isObserved)
                m_record.line("runner " + engine.id() + " runs " + id + " as runner "
                              + std::to_string(number));
            return engine.stream(connection, request, events, eventPause);
        }
        const bool isLost = mayLose(index);
        m_record.line("runner " + engine.id() + " runs " + id + " as runner "
                      + std::to_string(number) + (isLost ? ", its answer is lost" : ""));
        if (!isLost)
            return engine.stream(connection, request, events, eventPause);
        if (number == 1) {
            std::this_thread::sleep_for(eventPause * events);
            connection.waitForClose(disruptionTime);
            return false;
        }
        Engine::writeHead(connection, request, engine.id());
        for (int event = 1; event <= 2; ++event) {
            std::this_thread::sleep_for(eventPause);
            Engine::writeEvent(connection, event);
        }
        std::this_thread::sleep_for(eventPause);
        connection.reset();
        return false;
    }

    void countRun(int index)
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts[index].runs;
    }

    void sendAll(int count, const std::string &body)
    {
        std::vector<std::thread> callers;
        for (int number = 0; number < count; ++number) {
            callers.emplace_back([this, body] {
                const std::string id = randomId();
                const Answer answer = send(
                    m_daemon->front(), streamRequest("/draft/x", id, body, 12000), clientPatience);
                if (body == observedBody)
                    m_record.line("client gets " + std::to_string(answer.status) + " for " + id
                                  + (answer.isComplete ? "" : ", not complete"));
            });
            std::this_thread::sleep_for(milliseconds(5));
        }
        for (std::thread &caller : callers)
            caller.join();
    }

    int judge()
    {
        const std::lock_guard lock(m_mutex);
        std::size_t beyond = 0;
        for (const auto &[id, runners] : m_runners)
            beyond += runners.size() > maxAttempts ? 1 : 0;
        const std::string text = std::to_string(beyond)
            + " requests ran at more than two runners, at most " + std::to_string(allowedRequests)
            + " may";
        m_record.line(text);
        std::puts(text.c_str());
        return beyond > allowedRequests ? 1 : 0;
    }

    Record m_record;
    std::mutex m_mutex;
    std::map<std::string, std::set<std::string>> m_runners; ///< By request.
    std::map<int, Counts> m_counts;                         ///< By runner.
    std::atomic<bool> m_isDisrupted = false;
    std::string m_folder = makeFolder();
    Store m_store;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::unique_ptr<Daemon> m_daemon;
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
