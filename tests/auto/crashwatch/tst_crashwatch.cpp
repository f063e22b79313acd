#include "net/httpserver.h"
#include "serving/crashwatch.h"
#include "serving/enginereport.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace jackdawlead;
using namespace std::chrono_literals;
using decisions::Fingerprint;

namespace {

const Fingerprint request("request");

/// An endpoint that reports its instance, and the CrashWatch of it.
class Fixture
{
public:
    Fixture()
        : timers(loop)
        , http(loop, timers)
        , objects(http, {"127.0.0.1", 1})
        , context {settings, loop, timers, http, http, objects, metrics}
        , quarantine(context, [this](const auto &fact) { announced.push_back(fact); })
        , server(std::make_unique<net::HttpServer>(
              loop, net::HttpServerLimits {}, [this](const auto &exchange) {
                  exchange->respond({.status = 200, .headers = {}, .body = instance});
              }))
    {
        cr_assert(server->listen({"127.0.0.1", 0}).ok());
        watch
            = std::make_unique<serving::CrashWatch>(context, quarantine, core::EndpointId("engine"),
                                                    net::Address {"127.0.0.1", server->port()});
        watch->instanceSeen(serving::parseEngineReport(instance).instance, {});
    }

    void loseConnection()
    {
        bool isDone = false;
        watch->connectionLost({request}, [&] {
            isDone = true;
            loop.stop();
        });
        const auto limit = timers.once(60s, [this] { loop.stop(); });
        loop.run();
        cr_assert(isDone);
    }

    config::Settings settings;
    net::EventLoop loop;
    net::TimerService timers;
    net::HttpClient http;
    objectapi::ObjectClient objects;
    observability::Metrics metrics;
    serving::Context context;
    std::vector<decisions::Fact> announced;
    serving::QuarantineTask quarantine;
    std::string instance = "engine_instance_info{id=\"one\"} 1\n";
    std::unique_ptr<net::HttpServer> server;
    std::unique_ptr<serving::CrashWatch> watch;
};

} // namespace

// Guards against counting a lost connection to a running endpoint as a crash.
Test(crashwatch, lostConnectionIsNotRecordedAsCrash)
{
    Fixture fixture;
    fixture.loseConnection();
    cr_expect(fixture.quarantine.isClear(request));
    cr_expect(fixture.announced.empty());
}

// Guards against a crash that counts as a lost connection, and against a second crash that is not
// announced to other daemons or does not quarantine the request.
Test(crashwatch, failedProbeIsRecordedAsCrash)
{
    Fixture fixture;
    fixture.server.reset();
    fixture.loseConnection();
    cr_expect_not(fixture.quarantine.isClear(request));
    cr_expect(fixture.quarantine.checkStart(request).ok(), "a suspect runs alone");
    cr_expect_eq(fixture.announced.size(), 1UL);
    fixture.loseConnection();
    cr_expect(fixture.quarantine.isQuarantined(request));
    cr_expect_not(fixture.quarantine.checkStart(request).ok());
    cr_expect_eq(fixture.announced.size(), 2UL);
}

// Guards against an undetected crash of an engine that restarts before the next probe.
Test(crashwatch, newInstanceIsRecordedAsCrash)
{
    Fixture fixture;
    fixture.instance = "engine_instance_info{id=\"two\"} 1\n";
    fixture.loseConnection();
    cr_expect_not(fixture.quarantine.isClear(request));
    fixture.watch->instanceSeen("three", {request});
    cr_expect(fixture.quarantine.isQuarantined(request));
}

// Guards against a crashing request that runs again because its caller requests a stream.
Test(crashwatch, streamOptionIsNotPartOfFingerprint)
{
    const core::CustomerId customer("shop");
    const core::AdapterVersion charts {core::AdapterId("charts"), "1"};
    const auto fingerprint = [&](const std::string &body) {
        return serving::requestFingerprint(customer, charts, body);
    };
    cr_assert(fingerprint(R"({"prompt":"x","stream":true})") == fingerprint(R"({"prompt":"x"})"));
    cr_assert(fingerprint(R"({"prompt":"x"})") != fingerprint(R"({"prompt":"y"})"));
}
