#pragma once

#include "http/clientconnection.h"
#include "support/loopwait.h"
#include "support/platformconfig.h"
#include "support/platformfakes.h"
#include "support/ports.h"
#include "support/process.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace jackdawlead::testsupport {

using std::chrono::milliseconds;

inline constexpr core::Duration limit = std::chrono::seconds(20);

/// The part of an answer that a client has received so far.
struct Answer
{
    http::MessageHead head;
    std::string body;
    bool isEnded = false;
    bool isComplete = false;
    core::TimePoint startedAt;
    core::TimePoint endedAt;
    std::unique_ptr<http::ClientConnection> connection;
};
using AnswerPtr = std::shared_ptr<Answer>;

inline std::vector<std::uint16_t> takePorts(PortPicker &picker)
{
    constexpr int count = 6;
    std::vector<std::uint16_t> ports;
    ports.reserve(count);
    for (int number = 0; number < count; ++number)
        ports.push_back(picker.take());
    return ports;
}

/// Host name, ports and failure domain of one daemon.
struct DaemonAddress
{
    std::string host;
    std::uint16_t callerPort = 0;
    std::uint16_t readyPort = 0;
    std::uint16_t peerPort = 0;
    std::uint16_t storePort = 0; ///< Where it finds the store; zero for the fixture's port.
    std::string domain = "z1";
};

/// A fake store and fake endpoints on the test's event loop, and daemons as processes.
struct PlatformFixture
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    PortPicker picker;
    std::vector<std::uint16_t> ports = takePorts(picker);
    std::uint16_t storePort = ports[0];
    FakeStore store {loop, timers, storePort};
    FakeEndpoint first {loop, timers, "e-first", ports[1]};
    FakeEndpoint second {loop, timers, "e-second", ports[2]};
    std::uint16_t callerPort = ports[3];
    std::uint16_t readyPort = ports[4];
    std::uint16_t peerPort = ports[5];
    std::string folder;
    Process daemon;
    /// Retries of a service that are allowed in ten seconds beyond a fifth of its requests.
    int budgetSlack = 400;
    /// Whether daemons that are started are told that the system starts for the first time.
    bool isFirstStart = true;
    /// Further arguments of daemons that are started.
    std::vector<std::string> daemonArguments;

    explicit PlatformFixture(const char *service = "plain", bool isStarted = true,
                             int retrySlack = 400)
        : budgetSlack(retrySlack)
    {
        char pattern[] = "/tmp/jackdawlead-XXXXXX";
        folder = mkdtemp(pattern);
        store.put("servers", first.id, first.record(service));
        store.put("servers", second.id, second.record(service));
        startDaemon();
        if (!isStarted)
            return;
        store.put("config", "main", configuration(1, defaultRoutes()));
        cr_assert(waitUntil([this] { return pollReadiness() == 200; }));
    }
    ~PlatformFixture()
    {
        daemon.kill();
        std::filesystem::remove_all(folder);
    }

    /// The output of the daemon, for the messages of failed checks.
    std::string output() const
    {
        std::ifstream file(folder + "/output");
        return {std::istreambuf_iterator<char>(file), {}};
    }

    void startDaemon(const std::vector<int> &blockedSignals = {})
    {
        daemon = startDaemonAt({"h1", callerPort, readyPort, peerPort}, folder, blockedSignals);
    }

    /// Kills the daemon and waits until nothing listens at its readiness port.
    void killDaemon()
    {
        daemon.kill();
        cr_assert(waitUntil([this] { return pollReadiness() == 0; }));
    }

    /// Starts a daemon with its settings and output in `daemonFolder`, which must exist and must
    /// not be used by another daemon.
    Process startDaemonAt(const DaemonAddress &daemonAddress, const std::string &daemonFolder,
                          const std::vector<int> &blockedSignals = {}) const
    {
        const std::string path = daemonFolder + "/settings.conf";
        const auto address = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
        const std::uint16_t store
            = daemonAddress.storePort == 0 ? storePort : daemonAddress.storePort;
        std::ofstream(path) << "node=" << daemonAddress.host << "\nzone=" << daemonAddress.domain
                            << "\nregion=r1\nzones.z1=r1\nzones.z2=r1\nlisten.front="
                            << address(daemonAddress.callerPort)
                            << "\nlisten.ready=" << address(daemonAddress.readyPort)
                            << "\ninternal_ports=" << daemonAddress.peerPort << ","
                            << daemonAddress.peerPort << "\nplatform.address=" << address(store)
                            << "\nbounds.stable_window_ms=4000\nbounds.drain_ms=3000\n"
                               "bounds.grace_s=8\nbounds.config_ms=3000\nbounds.version_ms=5000\n"
                               "bounds.lease_ms=3000\nbounds.budget_window_s=10\n"
                               "bounds.budget_ratio=0.2\nbounds.budget_slack="
                            << budgetSlack << "\nbootstrap=" << (isFirstStart ? "true" : "false")
                            << "\n";
        setenv("JACKDAWLEAD_SETTINGS", path.c_str(), 1);
        std::vector<std::string> arguments {JACKDAWLEADD, "--platform"};
        arguments.insert(arguments.end(), daemonArguments.begin(), daemonArguments.end());
        return Process(arguments, daemonFolder + "/output", blockedSignals);
    }

    bool waitUntil(const std::function<bool()> &condition, core::Duration timeout = limit)
    {
        return testsupport::waitUntil(loop, timers, condition, timeout);
    }

    AnswerPtr send(std::uint16_t port, const std::string &bytes, const std::string &id = {})
    {
        auto answer = std::make_shared<Answer>();
        answer->startedAt = timers.now();
        answer->connection = std::make_unique<http::ClientConnection>(
            loop, net::Address {"127.0.0.1", port}, std::chrono::seconds(2));
        http::ExchangeObserver observer;
        observer.onHead = [raw = answer.get()](http::MessageHead &head) { raw->head = head; };
        observer.onBody = [raw = answer.get()](const std::string &body) { raw->body += body; };
        observer.onEnd = [this, raw = answer.get()](http::ExchangeEnd end) {
            raw->isEnded = true;
            raw->endedAt = timers.now();
            raw->isComplete = http::isComplete(end);
        };
        answer->connection->send({bytes, false, id.empty() ? "" : "Request-Id", id},
                                 std::move(observer));
        return answer;
    }

    AnswerPtr start(const std::string &path, const std::string &id, const std::string &model = {})
    {
        std::string bytes = "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
            + "\r\nDeadline-Ms: 4000\r\nContent-Length: 4\r\n";
        if (!model.empty())
            bytes += "Model: " + model + "\r\nToken-Count: 10,10\r\n";
        return send(callerPort, bytes + "\r\nbody");
    }

    AnswerPtr call(const std::string &path, const std::string &id, const std::string &model = {})
    {
        auto answer = start(path, id, model);
        cr_assert(waitUntil([&answer] { return answer->isEnded; }), "no answer to %s", id.c_str());
        return answer;
    }

    /// Runs the event loop for a time.
    void runLoopFor(core::Duration time) { runFor(loop, timers, time); }

    /// Sends requests until the path is served.
    bool waitUntilServed(const std::string &path)
    {
        int number = 0;
        AnswerPtr probe;
        return waitUntil([&] {
            if (probe && !probe->isEnded)
                return false;
            if (probe && probe->head.status == 200)
                return true;
            probe = start(path, "probe" + std::to_string(number++));
            return false;
        });
    }

    /// Returns the status of the last readiness probe and starts the next one; 0 if it failed.
    int pollReadiness()
    {
        // waitUntil() runs this check from the loop, so it cannot wait for the probe that it
        // starts.
        if (m_probe && !m_probe->isEnded)
            return m_lastReadiness;
        if (m_probe)
            m_lastReadiness = m_probe->isComplete ? m_probe->head.status : 0;
        m_probe = send(readyPort, "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
        return m_lastReadiness;
    }

private:
    AnswerPtr m_probe;
    int m_lastReadiness = 0;
};

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: text\n\n";
}

inline std::string events(int from, int to)
{
    std::string text;
    for (int id = from; id <= to; ++id)
        text += event(id);
    return text;
}

/// Streams events from the one after Last-Event-Id up to `last`; the stream ends complete or, if
/// `isTruncated`, within the next event.
inline void stream(const FakeEndpoint::Exchange &exchange, int last, bool isTruncated)
{
    const std::string after = exchange->head.headers.value("Last-Event-Id");
    const int from = after.empty() ? 1 : std::stoi(after) + 1;
    exchange->startChunked(200, FakeEndpoint::stamped(exchange));
    exchange->writeChunk(events(from, last));
    if (isTruncated) {
        exchange->writeChunk("id: " + std::to_string(last + 1) + "\nda");
        exchange->abort();
    } else {
        exchange->finishChunked();
    }
}

} // namespace jackdawlead::testsupport
