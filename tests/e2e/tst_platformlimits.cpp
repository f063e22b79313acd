#include "gateway/peermessages.h"
#include "http/server.h"
#include "rpc/rpccodec.h"
#include "support/platformfixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

using std::chrono::seconds;

// The platform's bound: from this time after the limit was announced first, each window of this
// length has at most this factor of what the limit allows, plus the slack.
constexpr core::Duration stableWindow = seconds(4);
constexpr core::Duration limitWindow = seconds(4);
constexpr double limitFactor = 1.5;
constexpr double limitSlack = 5;

/// Two daemons before two endpoints, with clients that send requests to both daemons.
struct LimitFixture : PlatformFixture
{
    DaemonAddress secondAddress {"h2", picker.take(), picker.take(), picker.take()};
    std::string secondFolder = folder + "/h2";
    Process secondDaemon;
    std::vector<AnswerPtr> answers;
    net::TimerService::Subscription load;
    std::string path = "/get/a";

    explicit LimitFixture(const char *service = "plain")
        : PlatformFixture(service)
    {
        startSecondDaemon();
        cr_assert(waitUntil([this] { return !coordinator().empty(); }));
        runLoopFor(seconds(2));
    }
    ~LimitFixture() { secondDaemon.kill(); }

    void startSecondDaemon()
    {
        std::filesystem::create_directory(secondFolder);
        secondDaemon = startDaemonAt(secondAddress, secondFolder);
    }

    std::string coordinator() const
    {
        const json lease = store.spec("jackdawlead-leases", "orders");
        return lease.is_null() ? std::string() : lease.value("holder", std::string());
    }

    std::string secondOutput() const
    {
        std::ifstream file(secondFolder + "/output");
        return {std::istreambuf_iterator<char>(file), {}};
    }

    /// Sends a request every `interval` to the daemons in turn.
    void startLoad(core::Duration interval)
    {
        load = timers.every(interval, [this] {
            const std::string id = "load" + std::to_string(answers.size());
            const std::uint16_t port
                = answers.size() % 2 == 0 ? callerPort : secondAddress.callerPort;
            answers.push_back(send(port,
                                   "POST " + path
                                       + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
                                       + "\r\nDeadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody"));
        });
    }

    int answersWith(int status) const
    {
        return static_cast<int>(std::ranges::count_if(answers, [status](const AnswerPtr &answer) {
            return answer->isEnded && answer->head.status == status;
        }));
    }

    static std::ptrdiff_t arrivalsSince(const FakeEndpoint &endpoint, core::TimePoint from)
    {
        return endpoint.arrivals.end() - std::ranges::lower_bound(endpoint.arrivals, from);
    }

    /// The largest number of messages for the endpoint in one window, from `from` on.
    static int worstWindow(const FakeEndpoint &endpoint, core::TimePoint from)
    {
        int worst = 0;
        const auto &arrivals = endpoint.arrivals;
        for (auto first = std::ranges::lower_bound(arrivals, from); first != arrivals.end();
             ++first) {
            const auto end = std::upper_bound(first, arrivals.end(), *first + limitWindow);
            worst = std::max(worst, static_cast<int>(end - first));
        }
        return worst;
    }

    static double maxPerWindow(double perSecond)
    {
        return limitFactor * perSecond * core::toSeconds(limitWindow) + limitSlack;
    }

    bool waitUntilAllEnded()
    {
        return waitUntil([this] {
            return std::ranges::all_of(answers, [](const auto &answer) { return answer->isEnded; });
        });
    }

    std::string outputs() const { return output() + secondOutput(); }
};

/// A coordinator that the test plays. It has not counted the daemons yet, and falls silent later.
class FakeCoordinator
{
public:
    FakeCoordinator(net::EventLoop &loop, net::TimerService &timers, const net::Address &address)
        : m_server(loop, timers, [this](const auto &exchange) { serve(exchange); })
    {
        m_dispatcher.bind({"report"}, [this, &timers](const rpc::JsonText &) {
            ++reports;
            gateway::PeerView view;
            view.isCoordinator = true;
            view.token = core::FencingToken(9);
            view.daemonCount = 1;
            view.areIssuingPermits = true;
            return rpc::RpcResult {{}, {gateway::encode(view, timers.now())}};
        });
        cr_assert(m_server.listen(address).ok());
    }

    int reports = 0;
    bool isSilent = false;

private:
    void serve(const std::shared_ptr<http::ServerExchange> &exchange)
    {
        if (isSilent)
            m_unanswered.push_back(exchange);
        else
            exchange->respond(200, {{"Content-Type", "application/json"}},
                              m_dispatcher.dispatch({exchange->body}).text);
    }

    rpc::RpcDispatcher m_dispatcher;
    http::Server m_server;
    std::vector<std::shared_ptr<http::ServerExchange>> m_unanswered;
};

std::size_t countOf(const std::string &text, const std::string &phrase)
{
    std::size_t count = 0;
    for (auto at = text.find(phrase); at != std::string::npos; at = text.find(phrase, at + 1))
        ++count;
    return count;
}

} // namespace

// Guards against daemons that each send as many requests as an endpoint's limit allows for all of
// them together, or that ignore the limit.
Test(platformlimits, daemonsTogetherKeepTheLimitOfAnEndpoint, .timeout = 60)
{
    LimitFixture fixture;
    fixture.first.requestLimit = "2";
    fixture.startLoad(milliseconds(10));
    const core::TimePoint announcedAt = fixture.timers.now();
    fixture.runLoopFor(stableWindow + seconds(6));
    fixture.load.cancel();
    cr_assert(fixture.waitUntilAllEnded());
    const int worst = LimitFixture::worstWindow(fixture.first, announcedAt + stableWindow);
    cr_expect_leq(worst, LimitFixture::maxPerWindow(2), "%d in one window\n%s", worst,
                  fixture.outputs().c_str());
    // The other endpoint has room for all of them.
    cr_expect_eq(fixture.answersWith(200), static_cast<int>(fixture.answers.size()));
}

// Guards against limits that are exceeded where no other endpoint can take the requests, and
// against daemons that use only a part of what all limited endpoints together accept.
Test(platformlimits, limitsOfAllEndpointsAreUsedAndKept, .timeout = 60)
{
    LimitFixture fixture;
    fixture.first.requestLimit = fixture.second.requestLimit = "4";
    fixture.startLoad(milliseconds(10));
    const core::TimePoint announcedAt = fixture.timers.now();
    fixture.runLoopFor(stableWindow + seconds(6));
    const core::TimePoint from = announcedAt + stableWindow;
    for (const FakeEndpoint *endpoint : {&fixture.first, &fixture.second}) {
        const int worst = LimitFixture::worstWindow(*endpoint, from);
        cr_expect_leq(worst, LimitFixture::maxPerWindow(4), "%d in one window\n%s", worst,
                      fixture.outputs().c_str());
        const auto served = LimitFixture::arrivalsSince(*endpoint, from);
        constexpr double minUsedShare = 0.9;
        cr_expect_geq(static_cast<double>(served), minUsedShare * 4 * 6);
    }
}

// Guards against a queue that makes all requests late which limited endpoints accept, while the
// demand exceeds the limits.
Test(platformlimits, requestsOfLimitedEndpointsAreServedInTime, .timeout = 60)
{
    LimitFixture fixture;
    fixture.first.requestLimit = fixture.second.requestLimit = "4";
    fixture.startLoad(milliseconds(10));
    fixture.runLoopFor(seconds(2));
    const std::size_t begin = fixture.answers.size();
    fixture.runLoopFor(seconds(6));
    fixture.load.cancel();
    cr_assert(fixture.waitUntilAllEnded());
    constexpr core::Duration targetLatency = milliseconds(800);
    int served = 0;
    int inTime = 0;
    for (std::size_t index = begin; index < fixture.answers.size(); ++index) {
        const Answer &answer = *fixture.answers[index];
        served += answer.head.status == 200 ? 1 : 0;
        inTime += answer.head.status == 200 && answer.endedAt - answer.startedAt <= targetLatency;
    }
    cr_expect_geq(served, 40, "%d", served);
    cr_expect_geq(inTime * 10, served * 9, "%d of %d", inTime, served);
}

// Guards against an endpoint that stays limited after it no longer announces a limit.
Test(platformlimits, answerWithoutLimitLiftsIt, .timeout = 60)
{
    LimitFixture fixture;
    fixture.first.requestLimit = "2";
    fixture.startLoad(milliseconds(10));
    fixture.runLoopFor(seconds(2));
    fixture.first.requestLimit.clear();
    const std::size_t before = fixture.first.heads.size();
    // At the limit this many requests would take 50 s.
    constexpr std::size_t manyRequests = 100;
    cr_assert(fixture.waitUntil([&] { return fixture.first.heads.size() > before + manyRequests; },
                                seconds(8)),
              "%s", fixture.outputs().c_str());
    cr_assert_neq(fixture.outputs().find("lifted"), std::string::npos);
}

// Guards against a new incarnation that inherits the limit of its predecessor.
Test(platformlimits, newIncarnationHasNoLimit, .timeout = 60)
{
    LimitFixture fixture;
    fixture.first.requestLimit = "0";
    fixture.startLoad(milliseconds(10));
    fixture.runLoopFor(seconds(2));
    fixture.first.restart(fixture.first.id);
    fixture.store.put("servers", fixture.first.id, fixture.first.record("plain"));
    const std::size_t before = fixture.first.heads.size();
    cr_assert(
        fixture.waitUntil([&] { return fixture.first.heads.size() > before + 100; }, seconds(8)),
        "%s", fixture.outputs().c_str());
}

// Guards against a daemon that learns of a limit only from its own requests.
Test(platformlimits, daemonThatStartsLaterLearnsTheLimit, .timeout = 60)
{
    LimitFixture fixture;
    fixture.secondDaemon.kill();
    std::filesystem::remove(fixture.secondFolder + "/output");
    fixture.first.requestLimit = fixture.second.requestLimit = "3";
    cr_assert(fixture.waitUntil([&] { return fixture.coordinator() == "h1"; }));
    cr_assert(fixture.waitUntil([&] {
        if (fixture.answers.empty() || fixture.answers.back()->isEnded)
            fixture.answers.push_back(fixture.start("/get/a", "r"));
        return fixture.output().find("announced, 3") != std::string::npos;
    }));
    fixture.startSecondDaemon();
    cr_assert(fixture.waitUntil([&] {
        return fixture.secondOutput().find("from the coordinator") != std::string::npos;
    }),
              "%s", fixture.secondOutput().c_str());
}

// Guards against requests that wait until their deadline although no permit can come in time, and
// against work that runs although its caller was told that it did not.
Test(platformlimits, requestsBeyondTheLimitAreRefusedAtOnce, .timeout = 60)
{
    LimitFixture fixture;
    fixture.first.requestLimit = fixture.second.requestLimit = "2";
    fixture.path = "/order/a";
    fixture.startLoad(milliseconds(10));
    fixture.runLoopFor(seconds(3));
    fixture.load.cancel();
    const core::TimePoint endedAt = fixture.timers.now();
    cr_assert(fixture.waitUntilAllEnded());
    // A request waits for at most 0.4 of its deadline of 4 s.
    cr_expect_lt((fixture.timers.now() - endedAt).count(),
                 core::Duration(milliseconds(2000)).count());
    const auto refused = std::ranges::count_if(fixture.answers, [](const AnswerPtr &answer) {
        return answer->head.status == 503
            && std::stod("0" + answer->head.headers.value("Retry-After")) >= 0.4;
    });
    cr_expect_eq(refused + fixture.answersWith(200), static_cast<long>(fixture.answers.size()),
                 "%s", fixture.outputs().c_str());
    cr_expect_eq(static_cast<int>(fixture.first.runs.size() + fixture.second.runs.size()),
                 fixture.answersWith(200));
    // A refused request has either waited, which its log line shows, or was refused at once.
    const auto delayed = std::ranges::count_if(fixture.answers, [](const AnswerPtr &answer) {
        constexpr core::Duration atOnce = milliseconds(200);
        return answer->head.status == 503 && answer->endedAt - answer->startedAt > atOnce;
    });
    const auto waits = static_cast<std::ptrdiff_t>(countOf(fixture.outputs(), "wait for permit"));
    cr_expect_leq(delayed, waits, "%td of %td", delayed, waits);
    // The endpoints accept four requests per second together, for which requests wait for at most
    // 0.4 of their deadline.
    constexpr std::ptrdiff_t maxInQueue = 7;
    cr_expect_leq(delayed, maxInQueue, "%td", delayed);
}

// Guards against refusing or delaying requests for an adapter whose only endpoint has a limit,
// while another endpoint could load it.
Test(platformlimits, adapterOfALimitedEndpointIsLoadedElsewhere, .timeout = 60)
{
    LimitFixture fixture("model");
    const auto run = [](FakeEndpoint &endpoint) {
        return [&endpoint](const FakeEndpoint::Exchange &exchange) {
            exchange->startChunked(200, endpoint.withNotices(FakeEndpoint::stamped(exchange)));
            exchange->writeChunk(event(1));
            exchange->finishChunked();
        };
    };
    fixture.first.run = run(fixture.first);
    fixture.second.run = run(fixture.second);
    cr_assert_eq(fixture.call("/stream/a", "r1", "base/a1")->head.status, 200);
    FakeEndpoint &holder = fixture.first.runs.empty() ? fixture.second : fixture.first;
    FakeEndpoint &other = fixture.first.runs.empty() ? fixture.first : fixture.second;
    holder.requestLimit = "0";
    cr_assert_eq(fixture.call("/stream/a", "r2", "base/a1")->head.status, 200);
    for (int number = 3; number < 10; ++number)
        cr_assert_eq(
            fixture.call("/stream/a", "r" + std::to_string(number), "base/a1")->head.status, 200,
            "%s", fixture.outputs().c_str());
    cr_expect_gt(other.runs.size(), 0U);
}

// Guards against orders of several planning passes that are all sent for the same permit.
Test(platformlimits, ordersKeepTheLimitOfAnIdleEndpoint, .timeout = 60)
{
    constexpr double perSecond = 0.2;
    LimitFixture fixture("model");
    fixture.first.requestLimit = fixture.second.requestLimit = std::to_string(perSecond);
    int number = 0;
    std::vector<AnswerPtr> answers;
    const auto load = fixture.timers.every(milliseconds(50), [&] {
        ++number;
        answers.push_back(fixture.start("/stream/a", "r" + std::to_string(number),
                                        "base/a" + std::to_string(number)));
    });
    fixture.runLoopFor(stableWindow);
    const core::TimePoint from = fixture.timers.now();
    constexpr core::Duration measuredTime = seconds(12);
    fixture.runLoopFor(measuredTime);
    for (const FakeEndpoint *endpoint : {&fixture.first, &fixture.second}) {
        const auto received = LimitFixture::arrivalsSince(*endpoint, from);
        // One permit may be left from before.
        cr_expect_leq(static_cast<double>(received), 1 + perSecond * core::toSeconds(measuredTime),
                      "%td\n%s", received, fixture.outputs().c_str());
    }
}

// Guards against a limit that is taken from a field without a valid number, and against a log line
// for each such field.
Test(platformlimits, malformedLimitIsIgnored, .timeout = 60)
{
    LimitFixture fixture;
    fixture.first.requestLimit = fixture.second.requestLimit = "soon";
    fixture.startLoad(milliseconds(10));
    fixture.runLoopFor(seconds(2));
    fixture.load.cancel();
    cr_assert(fixture.waitUntilAllEnded());
    cr_expect_eq(fixture.answersWith(200), static_cast<int>(fixture.answers.size()));
    const std::size_t lines = countOf(fixture.outputs(), "malformed value ignored");
    cr_expect_gt(lines, 0U);
    cr_expect_leq(lines, 8U);
}

// Guards against a limit that is exceeded, or an endpoint that is no longer used, while the
// coordinator is replaced after it was killed.
Test(platformlimits, limitIsKeptWithoutACoordinator, .timeout = 60)
{
    LimitFixture fixture;
    fixture.first.requestLimit = fixture.second.requestLimit = "4";
    fixture.startLoad(milliseconds(10));
    fixture.runLoopFor(stableWindow);
    const core::TimePoint from = fixture.timers.now();
    (fixture.coordinator() == "h1" ? fixture.daemon : fixture.secondDaemon).kill();
    fixture.runLoopFor(seconds(10));
    for (const FakeEndpoint *endpoint : {&fixture.first, &fixture.second}) {
        const int worst = LimitFixture::worstWindow(*endpoint, from);
        cr_expect_leq(worst, LimitFixture::maxPerWindow(4), "%d in one window\n%s", worst,
                      fixture.outputs().c_str());
        // The remaining daemon's share of the limit without a coordinator is 2 a second.
        const auto served = LimitFixture::arrivalsSince(*endpoint, from);
        cr_expect_geq(served, 15, "%s", fixture.outputs().c_str());
    }
}

// Guards against daemons that each take the whole limit, because their coordinator was lost before
// all daemons had reported to it.
Test(platformlimits, uncountedDaemonsDoNotShareTheLimit, .timeout = 60)
{
    constexpr char leaseKind[] = "jackdawlead-leases";
    PlatformFixture fixture;
    cr_assert(
        fixture.waitUntil([&] { return !fixture.store.spec(leaseKind, "orders").is_null(); }));
    fixture.daemon.kill();
    const net::Address address {"127.0.0.1", fixture.picker.take()};
    FakeCoordinator coordinator(fixture.loop, fixture.timers, address);
    json lease = fixture.store.spec(leaseKind, "orders");
    lease["holder"] = "h9";
    lease["address"] = address.toString();
    // The holder renews its lease, so that the daemon does not take it over.
    int renewals = 0;
    const auto renew = [&] {
        lease["sent"] = ++renewals;
        fixture.store.put(leaseKind, "orders", lease);
    };
    renew();
    const auto renewal = fixture.timers.every(milliseconds(200), renew);
    fixture.first.requestLimit = fixture.second.requestLimit = "20";
    fixture.startDaemon();
    cr_assert(fixture.waitUntil([&] { return coordinator.reports > 0; }));
    coordinator.isSilent = true;
    const core::TimePoint silentAt = fixture.timers.now();
    int number = 0;
    std::vector<AnswerPtr> answers;
    const auto load = fixture.timers.every(milliseconds(10), [&] {
        answers.push_back(fixture.start("/get/a", "r" + std::to_string(number++)));
    });
    // The coordinator counts as lost after two reports.
    constexpr core::Duration lossTime = seconds(1);
    constexpr core::Duration measuredTime = seconds(3);
    fixture.runLoopFor(lossTime + measuredTime);
    std::ptrdiff_t received = 0;
    for (const FakeEndpoint *endpoint : {&fixture.first, &fixture.second})
        received += LimitFixture::arrivalsSince(*endpoint, silentAt + lossTime);
    // One of a hundred daemons may send one request in 5 s to each endpoint.
    cr_expect_leq(received, 2, "%td\n%s", received, fixture.output().c_str());
}
