// The store is down until the lease for orders has ended, and the link to a runner loses a packet.

#include "engine.h"

#include <cstdio>

namespace {

using namespace lab;

constexpr int daemonCount = 2;
constexpr int runnerCount = 3;
// The only runner of its zone, in which there is no daemon.
constexpr int lossyRunner = 2;
constexpr int callersPerDaemon = 6;
constexpr int adapterCount = 3000;
constexpr milliseconds lossyTime {5500};
constexpr milliseconds lossyBefore {2500}; // Until the store is down.
constexpr milliseconds calmTime {5000};
constexpr int windows = 6;
constexpr double maxDownTime = 4.5;
// A segment that is lost once is sent again after 0.2 s and some.
constexpr milliseconds retransmissionTime {230};
constexpr double lossyShare = 0.03;
// From its last renewal on, how long the holder of the lease sends orders.
constexpr double orderTime = 1.3;
constexpr double lastOrdersTime = 0.07;
constexpr int events = 4;
constexpr milliseconds eventPause {20};

class Case
{
public:
    explicit Case(const std::string &recordPath)
        : m_record(recordPath)
        , m_store(freeAddress(freshIp()))
    {
        m_store.refuses = [this](const Message &request) { return refuses(request); };
        m_store.put("config", "main", streamConfiguration({800, 250}));
        for (int index = 0; index < runnerCount; ++index) {
            auto engine = std::make_unique<Engine>(
                m_store, "models", "z" + std::to_string(1 + index % 3),
                [](Engine &runner, Connection &connection, const Message &request) {
                    return runner.stream(connection, request, events, eventPause);
                });
            engine->setOrderHandler([this, index](const Order &order) { judge(index, order); });
            m_links.push_back(std::make_unique<Link>(
                freeAddress(freshIp()), engine->address(),
                [this, index](const std::string &bytes) { return delayOf(index, bytes); }));
            engine->setStatedAddress(m_links.back()->address());
            m_engines.push_back(std::move(engine));
        }
        for (int index = 0; index < daemonCount; ++index)
            m_daemons.push_back(std::make_unique<Daemon>("front-" + std::to_string(index + 1),
                                                         "z" + std::to_string(1 + index % 3),
                                                         m_store.address(), m_folder));
    }

    ~Case()
    {
        m_isStopped = true;
        for (std::thread &caller : m_callers)
            caller.join();
        m_daemons.clear();
        m_links.clear();
        m_engines.clear();
        removeFolder(m_folder);
    }

    int run()
    {
        for (const auto &daemon : m_daemons) {
            for (int attempt = 0; !daemon->isReady(); ++attempt) {
                if (attempt == 300)
                    return 2;
                pause(milliseconds(50));
            }
        }
        for (const auto &daemon : m_daemons) {
            for (int caller = 0; caller < callersPerDaemon; ++caller)
                m_callers.emplace_back([this, &daemon = *daemon] { callInTurn(daemon); });
        }
        pause(milliseconds(6000));
        for (int window = 0; window < windows; ++window) {
            playWindow();
            pause(calmTime);
        }
        const std::lock_guard lock(m_mutex);
        const std::string text = std::to_string(m_orders) + " orders, "
            + std::to_string(m_violations) + " with a lower fencing token after a higher one";
        m_record.line(text);
        std::puts(text.c_str());
        if (m_orders < 20)
            return 2;
        return m_violations > 0 ? 1 : 0;
    }

private:
    static void pause(milliseconds time) { std::this_thread::sleep_for(time); }

    void playWindow()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isLossy = isTroubled();
            m_segments = m_lost = 0;
            m_record.line(m_isLossy ? "the links of a zone lose packets" : "no disruption");
        }
        pause(lossyBefore);
        {
            const std::lock_guard lock(m_mutex);
            m_awaitsRenewal = m_isLossy;
        }
        pause(lossyTime - lossyBefore);
        const std::lock_guard lock(m_mutex);
        m_isLossy = m_awaitsRenewal = false;
        m_record.line("lost " + std::to_string(m_lost) + " of " + std::to_string(m_segments)
                      + " packets to runners");
    }

    // The outage begins after a renewal and ends with the first write that takes the lease anew.
    bool refuses(const Message &request)
    {
        const std::lock_guard lock(m_mutex);
        const bool isLease = request.method == "PUT"
            && request.target.starts_with("/-/objects/jackdawlead-leases/");
        const auto token = isLease
            ? nlohmann::json::parse(request.body).at("spec").value("token", std::uint64_t {0})
            : 0;
        if (!m_isDown) {
            if (!isLease)
                return false;
            m_renewedAt = m_record.now();
            m_token = token;
            m_isDown = std::exchange(m_awaitsRenewal, false);
            if (m_isDown)
                m_record.line("the store is down after a renewal of the lease");
            return false;
        }
        const bool isOver = m_record.now() - m_renewedAt > maxDownTime;
        if (!isOver && (!isLease || token == m_token))
            return true;
        m_isDown = false;
        char text[100];
        std::snprintf(text, sizeof text, "the store is back after %.3f s, token %llu",
                      m_record.now() - m_renewedAt, static_cast<unsigned long long>(token));
        m_record.line(text);
        return false;
    }

    milliseconds delayOf(int runner, const std::string &bytes)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isLossy || runner != lossyRunner)
            return milliseconds(0);
        ++m_segments;
        const bool isLast = m_isDown && m_record.now() >= m_renewedAt + orderTime - lastOrdersTime;
        if (!isLast || !bytes.starts_with("POST /-/order") || m_lost + 1 > lossyShare * m_segments)
            return milliseconds(0);
        ++m_lost;
        m_record.line("the packet of an order is lost, and sent again later");
        return retransmissionTime;
    }

    void judge(int runner, const Order &order)
    {
        const std::lock_guard lock(m_mutex);
        ++m_orders;
        std::uint64_t &highest = m_highestTokens[runner];
        const bool isLower = order.token < highest;
        m_violations += isLower ? 1 : 0;
        highest = std::max(highest, order.token);
        m_record.line("runner " + std::to_string(runner) + " gets from " + order.holder + " token "
                      + std::to_string(order.token) + ": " + order.text + ", answers "
                      + std::to_string(order.status)
                      + (isLower ? " - LOWER TOKEN THAN BEFORE" : ""));
    }

    void callInTurn(const Daemon &daemon)
    {
        while (!m_isStopped) {
            const std::string id = randomId();
            const int adapter = 1 + std::stoi(id.substr(0, 4), nullptr, 16) % adapterCount;
            send(daemon.front(),
                 streamRequest("/draft/x", id, "body", 12000, "m0/a" + std::to_string(adapter)),
                 milliseconds(3200));
            pause(milliseconds(20));
        }
    }

    Record m_record;
    std::mutex m_mutex;
    bool m_isLossy = false;
    bool m_awaitsRenewal = false;
    bool m_isDown = false;
    double m_renewedAt = 0;
    std::uint64_t m_token = 0;
    int m_segments = 0;
    int m_lost = 0;
    int m_orders = 0;
    int m_violations = 0;
    std::map<int, std::uint64_t> m_highestTokens;
    std::string m_folder = makeFolder();
    Store m_store;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<std::unique_ptr<Link>> m_links;
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
