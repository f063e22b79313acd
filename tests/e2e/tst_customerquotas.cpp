#include "earliercoordinator.h"
#include "support/earliermessages.h"
#include "support/platformfixture.h"
#include "tools/explain.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <map>
#include <sstream>
#include <string>
#include <vector>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

using std::chrono::seconds;

constexpr core::Duration quotaWindow = seconds(8);
/// What each request of these tests costs.
constexpr double cost = 200;
constexpr double rate = 4000;
constexpr double burst = 4000;
/// From the announcement of the customers until a new coordinator's buckets are filled.
constexpr core::Duration settleTime = seconds(3);

json customer(const std::string &name, double perSecond = rate)
{
    return {{"name", name},         {"api_keys", {"key-" + name}}, {"unit", "tokens"},
            {"plain_tokens", cost}, {"rate_per_s", perSecond},     {"burst", perSecond}};
}

struct Arrival
{
    core::TimePoint at;
    double tokens = 0;
};

/// Two daemons before two endpoints that record what each customer's requests cost.
struct QuotaFixture
{
    PlatformFixture platform;
    DaemonAddress secondAddress {"h2", platform.picker.take(), platform.picker.take(),
                                 platform.picker.take()};
    std::string secondFolder = platform.folder + "/h2";
    Process secondDaemon;
    std::map<std::string, std::vector<Arrival>> arrivals;
    std::map<std::string, std::vector<AnswerPtr>> answers;
    std::vector<net::TimerService::Subscription> loads;
    int sent = 0;

    QuotaFixture()
    {
        for (FakeEndpoint *endpoint : {&platform.first, &platform.second})
            endpoint->run = [this](const FakeEndpoint::Exchange &exchange) { record(exchange); };
        std::filesystem::create_directory(secondFolder);
        secondDaemon = platform.startDaemonAt(secondAddress, secondFolder);
        cr_assert(platform.waitUntil([this] { return !coordinator().empty(); }));
        platform.runLoopFor(seconds(2));
        json spec = configuration(2, defaultRoutes());
        spec["tenants"] = json::array({customer("busy"), customer("calm")});
        platform.store.put("config", "main", spec);
        platform.runLoopFor(settleTime);
    }
    ~QuotaFixture() { secondDaemon.kill(); }

    void record(const FakeEndpoint::Exchange &exchange)
    {
        arrivals[exchange->head.headers.value("Tenant")].push_back({platform.timers.now(), cost});
        exchange->respond(200, FakeEndpoint::stamped(exchange), "whole answer");
    }

    std::string coordinator() const
    {
        const json lease = platform.store.spec("jackdawlead-leases", "orders");
        return lease.is_null() ? std::string() : lease.value("holder", std::string());
    }

    AnswerPtr send(const std::string &name, std::uint16_t port, const std::string &path = "/get/a")
    {
        const std::string id = name + std::to_string(sent++);
        auto answer = platform.send(port,
                                    "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: "
                                        + id + "\r\nApi-Key: key-" + name
                                        + "\r\nDeadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody",
                                    id);
        answers[name].push_back(answer);
        return answer;
    }

    /// Sends requests of the customer to both daemons in turn.
    void startLoad(const std::string &name, core::Duration interval)
    {
        loads.push_back(platform.timers.every(interval, [this, name] {
            send(name, sent % 2 == 0 ? platform.callerPort : secondAddress.callerPort);
        }));
    }

    void endLoads()
    {
        loads.clear();
        cr_assert(platform.waitUntil([this] {
            return std::ranges::all_of(answers, [](const auto &entry) {
                return std::ranges::all_of(entry.second,
                                           [](const auto &answer) { return answer->isEnded; });
            });
        }));
    }

    long answersWith(const std::string &name, int status) const
    {
        const auto found = answers.find(name);
        return found == answers.end()
            ? 0
            : std::ranges::count_if(found->second, [status](const AnswerPtr &answer) {
                  return answer->head.status == status;
              });
    }

    /// The most tokens of the customer that arrived in one window.
    double worstWindow(const std::string &name)
    {
        double worst = 0;
        const auto &list = arrivals[name];
        for (auto first = list.begin(); first != list.end(); ++first) {
            double sum = 0;
            for (auto at = first; at != list.end() && at->at < first->at + quotaWindow; ++at)
                sum += at->tokens;
            worst = std::max(worst, sum);
        }
        return worst;
    }

    double tokensSince(const std::string &name, core::TimePoint from)
    {
        double sum = 0;
        for (const Arrival &arrival : arrivals[name])
            sum += arrival.at >= from ? arrival.tokens : 0;
        return sum;
    }

    void expectWithinQuota(const std::string &name)
    {
        const double worst = worstWindow(name);
        cr_expect_leq(worst, rate * core::toSeconds(quotaWindow) + burst, "%f in one window\n%s",
                      worst, outputs().c_str());
    }

    /// Checks what jackdawctl tells of a refused request of the customer.
    void expectExplained(const std::string &name, int status, const std::string &cause)
    {
        std::istringstream log(outputs());
        const auto lines = tools::readLogLines(log);
        const auto isRefused = [&](const json &line) {
            const std::string id = line.value("request", std::string());
            return id.starts_with(name) && line.value("step", std::string()) == "refuse";
        };
        const auto line = std::ranges::find_if(lines, isRefused);
        cr_assert(line != lines.end(), "no line about a refusal\n%s", outputs().c_str());
        const auto history = tools::explainRequest(line->at("request"), lines);
        cr_expect(history.cause.starts_with("refuse: status " + std::to_string(status)), "%s",
                  history.cause.c_str());
        for (const std::string &part :
             {cause, std::string("allowance"), std::string("last answer of the coordinator"),
              std::string("configuration 2 in force")})
            cr_expect_neq(history.cause.find(part), std::string::npos, "%s", history.cause.c_str());
        cr_expect_neq(outputs().find(name + " begins to be limited"), std::string::npos);
    }

    std::string outputs() const
    {
        std::ifstream file(secondFolder + "/output");
        return platform.output() + std::string(std::istreambuf_iterator<char>(file), {});
    }
};

} // namespace

// Guards against daemons that each spend the whole quota, against a quota of which a part stays
// unused, against refusals that clients can't tell from a fault, and against a customer below its
// limit that is refused or delayed beside one at several times its limit.
Test(customerquotas, exhaustedQuotaGets429, .timeout = 90)
{
    QuotaFixture fixture;
    fixture.startLoad("calm", milliseconds(100));
    const core::TimePoint from = fixture.platform.timers.now();
    fixture.startLoad("busy", milliseconds(10));
    fixture.platform.runLoopFor(seconds(12));
    const double served = fixture.tokensSince("busy", from);
    fixture.endLoads();
    fixture.expectWithinQuota("busy");
    constexpr double usedShare = 0.95;
    cr_expect_geq(served, usedShare * rate * 12, "%f\n%s", served, fixture.outputs().c_str());
    const auto all = static_cast<long>(fixture.answers["busy"].size());
    const long refused = fixture.answersWith("busy", 429);
    cr_expect_gt(refused, 0);
    cr_expect_eq(refused + fixture.answersWith("busy", 200), all, "%ld of %ld, 503: %ld\n%s",
                 refused, all, fixture.answersWith("busy", 503), fixture.outputs().c_str());
    for (const AnswerPtr &answer : fixture.answers["busy"]) {
        if (answer->head.status == 429)
            cr_expect_geq(std::stod("0" + answer->head.headers.value("Retry-After")), 0.5);
    }
    fixture.expectExplained("busy", 429,
                            "the customer's quota is used up, customer busy, cost 200");
    const auto calm = static_cast<long>(fixture.answers["calm"].size());
    cr_expect_eq(fixture.answersWith("calm", 200), calm, "%s", fixture.outputs().c_str());
    // One call to the coordinator takes 5 ms to be sent.
    constexpr core::Duration roundTrip = milliseconds(100);
    for (const AnswerPtr &answer : fixture.answers["calm"])
        cr_expect_lt(
            (answer->endedAt - answer->startedAt).count(), roundTrip.count(),
            "%lld ms, %lld ms after the begin",
            static_cast<long long>(core::toMilliseconds(answer->endedAt - answer->startedAt)),
            static_cast<long long>(core::toMilliseconds(answer->startedAt - from)));
}

// Guards against retries by the daemon that are charged like requests of the client, and against a
// refused request that keeps its tokens.
Test(customerquotas, attemptsAreChargedOnce, .timeout = 90)
{
    QuotaFixture fixture;
    // The first send of each request is refused as not run.
    std::map<std::string, int> sends;
    const auto refuseFirst = [&](const FakeEndpoint::Exchange &exchange) {
        if (sends[exchange->head.headers.value("Request-Id")]++ > 0) {
            fixture.record(exchange);
            return;
        }
        net::Headers fields = FakeEndpoint::stamped(exchange);
        fields.add("Not-Executed", "1");
        exchange->respond(503, std::move(fields), "");
    };
    fixture.platform.first.run = fixture.platform.second.run = refuseFirst;
    const core::TimePoint from = fixture.platform.timers.now();
    // 0.8 of the limit; charged twice, it would be 1.6.
    constexpr core::Duration interval = std::chrono::microseconds(62500);
    fixture.startLoad("busy", interval);
    fixture.platform.runLoopFor(seconds(10));
    fixture.endLoads();
    cr_expect_eq(fixture.answersWith("busy", 429), 0, "%s", fixture.outputs().c_str());
    cr_expect_eq(fixture.answersWith("busy", 200),
                 static_cast<long>(fixture.answers["busy"].size()), "%s",
                 fixture.outputs().c_str());
    constexpr double sentShare = 0.75;
    cr_expect_geq(fixture.tokensSince("busy", from), sentShare * rate * 10);
}

// Guards against a quota that is exceeded while the coordinator is replaced after it was killed,
// and against one that nobody can use afterwards.
Test(customerquotas, newCoordinatorKeepsTheSum, .timeout = 90)
{
    QuotaFixture fixture;
    fixture.startLoad("busy", milliseconds(10));
    fixture.platform.runLoopFor(seconds(4));
    const bool isFirst = fixture.coordinator() == "h1";
    (isFirst ? fixture.platform.daemon : fixture.secondDaemon).kill();
    fixture.platform.runLoopFor(seconds(14));
    const core::TimePoint from = fixture.platform.timers.now();
    fixture.platform.runLoopFor(seconds(4));
    const double served = fixture.tokensSince("busy", from);
    fixture.expectWithinQuota("busy");
    // The share of the daemon that was killed is withheld.
    constexpr double usedShare = 0.4;
    cr_expect_geq(served, usedShare * rate * 4, "%f\n%s", served, fixture.outputs().c_str());
}

// Guards against customers below their limits that are refused because all daemons were killed: no
// answer is known, and the buckets of the coordinator are empty.
Test(customerquotas, startedDaemonsServeAtOnce, .timeout = 90)
{
    QuotaFixture fixture;
    fixture.platform.killDaemon();
    fixture.secondDaemon.kill();
    fixture.platform.isFirstStart = false;
    fixture.platform.startDaemon();
    fixture.secondDaemon
        = fixture.platform.startDaemonAt(fixture.secondAddress, fixture.secondFolder);
    cr_assert(fixture.platform.waitUntil([&] { return fixture.platform.pollReadiness() == 200; }));
    // 0.4 of the limit.
    fixture.startLoad("calm", milliseconds(125));
    fixture.platform.runLoopFor(seconds(6));
    fixture.endLoads();
    const auto all = static_cast<double>(fixture.answers["calm"].size());
    cr_expect_eq(fixture.answersWith("calm", 429), 0, "%s", fixture.outputs().c_str());
    // A request waits for the first coordinator for half a second at most.
    constexpr double servedShare = 0.9;
    cr_expect_geq(static_cast<double>(fixture.answersWith("calm", 200)), servedShare * all,
                  "%ld of %f\n%s", fixture.answersWith("calm", 200), all,
                  fixture.outputs().c_str());
}

// Guards against daemons that spend more than the quota together while the coordinator is stopped
// and after it goes on, and against a daemon out of contact that does not serve its share.
Test(customerquotas, cutDaemonsKeepTheSum, .timeout = 90)
{
    QuotaFixture fixture;
    // Both know their shares by then.
    fixture.platform.runLoopFor(seconds(4));
    fixture.startLoad("busy", milliseconds(10));
    fixture.platform.runLoopFor(seconds(4));
    // A stopped coordinator neither answers nor renews its lease.
    const bool isFirst = fixture.coordinator() == "h1";
    Process &coordinator = isFirst ? fixture.platform.daemon : fixture.secondDaemon;
    coordinator.signal(SIGSTOP);
    const core::TimePoint stoppedAt = fixture.platform.timers.now();
    fixture.platform.runLoopFor(seconds(5));
    coordinator.signal(SIGCONT);
    fixture.platform.runLoopFor(seconds(8));
    fixture.endLoads();
    fixture.expectWithinQuota("busy");
    cr_expect_gt(fixture.tokensSince("busy", stoppedAt + seconds(3)), 0.0, "%s",
                 fixture.outputs().c_str());
}

// Guards against a daemon that takes a coordinator of an earlier release, which knows no quotas,
// for one that allows everything or nothing: it serves its share.
Test(customerquotas, earlierCoordinatorLeavesShares, .timeout = 90)
{
    QuotaFixture fixture;
    fixture.platform.runLoopFor(seconds(4));
    EarlierCoordinator earlier(fixture.platform, earlier::viewOfE304079);
    cr_assert(fixture.platform.waitUntil([&] { return earlier.reports() >= 4; }));
    fixture.startLoad("busy", milliseconds(10));
    // Without answers about quotas the daemons begin to use their shares.
    fixture.platform.runLoopFor(seconds(3));
    const core::TimePoint from = fixture.platform.timers.now();
    fixture.platform.runLoopFor(seconds(4));
    const double served = fixture.tokensSince("busy", from);
    fixture.endLoads();
    fixture.expectWithinQuota("busy");
    constexpr double usedShare = 0.8;
    cr_expect_geq(served, usedShare * rate * 4, "%f\n%s", served, fixture.outputs().c_str());
    // No coordinator said that the quota is used up.
    const auto &answers = fixture.answers["busy"];
    cr_expect(std::ranges::none_of(answers,
                                   [&](const AnswerPtr &answer) {
                                       return answer->startedAt >= from
                                           && answer->head.status == 429;
                                   }),
              "%s", fixture.outputs().c_str());
}
