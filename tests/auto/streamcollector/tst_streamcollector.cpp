#include "decisions/streams/enginetimes.h"
#include "gateway/peermessages.h"
#include "gateway/streamcollector.h"
#include "gateway/streamforecast.h"
#include "net/eventloop.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include <string>

using namespace jackdawlead;
using namespace jackdawlead::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::TimePoint now {seconds(1000)};
const core::EndpointId first("e1");
const core::EndpointId second("e2");
const core::EndpointId remote("e3");
const StreamCollector::Regions regions {{core::FailureDomainId("z1"), core::RegionId("r1")},
                                        {core::FailureDomainId("z2"), core::RegionId("r1")},
                                        {core::FailureDomainId("z3"), core::RegionId("r2")}};

fleet::Endpoint endpointIn(const core::EndpointId &id, const std::string &domain)
{
    fleet::Endpoint endpoint;
    endpoint.id = id;
    endpoint.service = core::ServiceId("model");
    endpoint.domain = core::FailureDomainId(domain);
    endpoint.slots = 32;
    return endpoint;
}

StreamCollector::Endpoints threeEndpoints()
{
    return {{first, endpointIn(first, "z1")},
            {second, endpointIn(second, "z2")},
            {remote, endpointIn(remote, "z3")}};
}

void report(StreamCollector &collector, const std::string &host, const std::string &domain,
            const std::optional<StreamReports> &streams, core::TimePoint at = now)
{
    collector.addReport(core::HostId(host), core::FailureDomainId(domain), streams, at);
}

} // namespace

// Guards against statements that are lost or changed on their way, and against fields in the
// messages of deployments that do not forecast streams.
Test(streamcollector, messagesCarryStreamsOnlyIfStated)
{
    PeerReport report;
    PeerView view;
    cr_expect_not(decodePeerReport(encode(report, now), now)->streams.has_value());
    cr_expect_not(decodePeerView(encode(view, now), now)->streams.has_value());
    const std::string silent = encode(report, now);
    report.streams = StreamReports {{first, {3, 2368, milliseconds(41)}}, {second, {1, 0, {}}}};
    view.streams
        = StreamView {{3, 4}, {2368, 0}, {milliseconds(41), core::Duration::zero()}, {0, 0.25}};
    cr_expect(encode(report, now).size() > silent.size());
    cr_expect(decodePeerReport(encode(report, now), now)->streams == report.streams);
    cr_expect(decodePeerView(encode(view, now), now)->streams == view.streams);
    // A daemon without streams states that it has none, which is not the same as nothing.
    report.streams = StreamReports();
    const auto none = decodePeerReport(encode(report, now), now);
    cr_expect(none->streams.has_value() && none->streams->empty());
}

// Guards against a statement of wrong kind or size that ends the daemon or counts for others.
Test(streamcollector, malformedStreamsAreRejected)
{
    using nlohmann::json;
    for (const char *text : {R"({"streams":[["e1",1,2]]})", R"({"streams":["e1",1]})",
                             R"({"streams":["e1","x",1,1]})", R"({"streams":[1,1,1,1]})"}) {
        bool isRejected = false;
        try {
            decodeStreamReports(json::parse(text));
        } catch (const json::exception &) {
            isRejected = true;
        }
        cr_expect(isRejected, "%s", text);
    }
    const auto view
        = decodeStreamView(json::parse(R"({"streams":[[1],[-5,99999999999],[],[7,500,0,5000]]})"));
    cr_assert(view.has_value());
    cr_expect(view->promptTokens == std::vector<int>({0, 1'000'000}));
    cr_expect(view->shares == std::vector<double>({1, 0}));
    cr_expect_eq(view->requests.size(), 2U);
}

// Guards against prompts that are counted for the wrong endpoint, twice, or after their daemon has
// gone.
Test(streamcollector, totalsAreThoseOfAllReportingDaemons)
{
    StreamCollector collector;
    report(collector, "h1", "z1", StreamReports {{first, {2, 800, {}}}, {second, {1, 0, {}}}});
    report(collector, "h2", "z2", StreamReports {{first, {1, 2368, {}}}});
    report(collector, "h1", "z1", StreamReports {{first, {2, 826, {}}}});
    collector.update(threeEndpoints(), regions, now);
    const auto view = collector.viewFor(core::HostId("h2"), threeEndpoints());
    cr_assert(view.has_value());
    cr_expect(view->requests == std::vector<int>({3, 0, 0}));
    cr_expect(view->promptTokens == std::vector<int>({3194, 0, 0}));
    report(collector, "h2", "z2", StreamReports(), now + seconds(3));
    collector.update(threeEndpoints(), regions, now + seconds(3));
    cr_expect(collector.viewFor(core::HostId("h2"), threeEndpoints())->promptTokens
              == std::vector<int>({0, 0, 0}));
    cr_expect_not(collector.viewFor(core::HostId("h1"), threeEndpoints()).has_value());
}

// Guards against one daemon's slow link that makes an endpoint slow for all, and against an
// endpoint that stays slow for ever because nobody sends to it.
Test(streamcollector, pausesAreMediansOfRecentStatements)
{
    StreamCollector collector;
    for (int daemon = 0; daemon < 5; ++daemon)
        report(collector, "h" + std::to_string(daemon), "z1",
               StreamReports {{first, {1, 0, milliseconds(daemon == 0 ? 900 : 40)}}});
    collector.update(threeEndpoints(), regions, now);
    const auto pauseAt = [&collector] {
        return collector.viewFor(core::HostId("h1"), threeEndpoints())->pauses.front();
    };
    cr_expect_eq(pauseAt(), milliseconds(40));
    for (int second = 1; second <= 12; ++second) {
        report(collector, "h1", "z1", StreamReports(), now + seconds(second));
        collector.update(threeEndpoints(), regions, now + seconds(second));
        cr_expect_eq(pauseAt(), second <= 11 ? milliseconds(40) : milliseconds(0));
    }
}

// Guards against parts in another region, where each event costs, and for daemons that do not use
// them.
Test(streamcollector, sharesStayInTheRegionOfTheirDaemon)
{
    StreamCollector collector;
    report(collector, "h1", "z1", StreamReports());
    report(collector, "h2", "z2", StreamReports());
    report(collector, "h3", "z3", StreamReports());
    report(collector, "h4", "z1", std::nullopt);
    collector.update(threeEndpoints(), regions, now);
    const auto sharesOf = [&collector](const char *host) {
        return collector.viewFor(core::HostId(host), threeEndpoints())->shares;
    };
    cr_expect(sharesOf("h1") == std::vector<double>({1, 0, 0}));
    cr_expect(sharesOf("h2") == std::vector<double>({0, 1, 0}));
    cr_expect(sharesOf("h3") == std::vector<double>({0, 0, 1}));
    cr_expect_not(collector.viewFor(core::HostId("h4"), threeEndpoints()).has_value());
}

// Guards against an endpoint that is slow for ever because an earlier incarnation was.
Test(streamcollector, restartedEndpointStartsWithoutAnEstimate)
{
    net::EventLoop loop;
    net::TimerService timers(loop);
    const EndpointPool pool(loop, timers);
    StreamForecast forecast(pool, true);
    auto endpoints = threeEndpoints();
    core::TimePoint at = now;
    for (int pause = 0; pause < 20; ++pause)
        forecast.recordPause(first, {}, milliseconds(200), at += milliseconds(200));
    cr_expect(forecast.stateOf(endpoints.at(first), at).timeFactor > 3);
    cr_expect_eq(forecast.makeReports(endpoints, at).at(first).pause.has_value(), true);
    endpoints.at(first).startTime = milliseconds(1);
    cr_expect_float_eq(forecast.stateOf(endpoints.at(first), at).timeFactor, 1, 1e-9);
    cr_expect(forecast.makeReports(endpoints, at).empty());
}
