#include "support/platformfixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

using std::chrono::seconds;

// The platform's bound: from this time after the limit was named first, each window of this length
// has at most this factor of what the limit allows, plus the slack.
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
        std::filesystem::create_directory(secondFolder);
        secondDaemon = startDaemonAt(secondAddress, secondFolder);
        cr_assert(waitUntil([this] {
            const json lease = store.spec("jackdawlead-leases", "orders");
            return !lease.is_null();
        }));
        runLoopFor(seconds(2));
    }
    ~LimitFixture() { secondDaemon.kill(); }

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

    std::string outputs() const
    {
        std::ifstream file(secondFolder + "/output");
        return output() + std::string(std::istreambuf_iterator<char>(file), {});
    }
};

} // namespace

// Guards against daemons that each send as many requests as an endpoint's limit allows for all of
// them together, or that ignore the limit.
Test(platformlimits, daemonsTogetherKeepTheLimitOfAnEndpoint, .timeout = 60)
{
    LimitFixture fixture;
    fixture.first.requestLimit = "2";
    fixture.startLoad(milliseconds(10));
    const core::TimePoint namedAt = fixture.timers.now();
    fixture.runLoopFor(stableWindow + seconds(6));
    fixture.load.cancel();
    cr_assert(fixture.waitUntil([&] {
        return std::ranges::all_of(fixture.answers,
                                   [](const auto &answer) { return answer->isEnded; });
    }));
    const int worst = LimitFixture::worstWindow(fixture.first, namedAt + stableWindow);
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
    const core::TimePoint namedAt = fixture.timers.now();
    fixture.runLoopFor(stableWindow + seconds(6));
    const core::TimePoint from = namedAt + stableWindow;
    for (const FakeEndpoint *endpoint : {&fixture.first, &fixture.second}) {
        const int worst = LimitFixture::worstWindow(*endpoint, from);
        cr_expect_leq(worst, LimitFixture::maxPerWindow(4), "%d in one window\n%s", worst,
                      fixture.outputs().c_str());
        const auto served
            = endpoint->arrivals.end() - std::ranges::lower_bound(endpoint->arrivals, from);
        constexpr double minUsedShare = 0.9;
        cr_expect_geq(static_cast<double>(served), minUsedShare * 4 * 6);
    }
}
