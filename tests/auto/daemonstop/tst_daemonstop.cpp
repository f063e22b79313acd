#include "app/daemon.h"
#include "config/release.h"
#include "support/objectapi.h"

#include <criterion/criterion.h>

#include <atomic>
#include <optional>
#include <thread>

using namespace jackdawlead;

namespace {

constexpr core::Duration testTimeout = std::chrono::seconds(60);
constexpr const char *callerToken = "caller-secret";
// Large enough that a part is still unsent when the response of the service is complete.
constexpr std::size_t responseBytes = 3UL * 1024 * 1024;

config::Manifest orderManifest()
{
    config::Manifest manifest;
    manifest.release = "test-1";
    config::Pool pool;
    pool.name = core::PoolId("orders");
    pool.kind = config::PoolKind::Plain;
    manifest.pools = {pool};
    manifest.customers = {{core::CustomerId("shop"), {config::sha256Hex(callerToken)}}};
    config::Service service;
    service.name = core::ServiceId("orders");
    service.pool = pool.name;
    service.callers = {core::CustomerId("shop")};
    service.isRepeatable = false;
    manifest.services = {service};
    return manifest;
}

// Runs one daemon in its own thread; the fake platform, the fake service and the callers run in the
// thread of the test.
class Fixture
{
public:
    Fixture()
        : m_api(m_loop)
        , m_timers(m_loop)
        , m_http(m_loop, m_timers)
        , m_service(m_loop, {}, [this](const auto &exchange) { serviceCall = exchange; })
    {
        cr_assert(m_api.listen() && m_service.listen({"127.0.0.1", 0}).ok());
        const auto parts = config::splitIntoParts(orderManifest());
        for (const config::ConfigPart &part : parts)
            m_api.put("configparts", part.name, {{"content", part.content}});
        m_api.put("configroots", "main",
                  config::toJson(config::makeRoot(core::Generation(1), "test-1", parts)));
        m_api.hosts = {{"items",
                        {{{"name", "orders-1"},
                          {"role", "endpoint"},
                          {"ip", "127.0.0.1"},
                          {"port", m_service.port()},
                          {"pool", "orders"},
                          {"region", "home"},
                          {"failureDomain", "home-1"},
                          {"state", "live"}}}}};
        config::Settings settings;
        settings.host = core::HostId("daemon-1");
        settings.region = core::RegionId("home");
        settings.peerCredential = "peer-secret";
        settings.adminCredential = "admin-secret";
        settings.objectApiIp = settings.hostListIp = "127.0.0.1";
        settings.objectApiPort = settings.hostListPort = m_api.port();
        m_daemon.emplace(settings);
        cr_assert(m_daemon->start().ok());
        m_thread = std::thread([this] {
            m_daemon->run();
            m_hasStopped = true;
        });
    }
    ~Fixture() { m_thread.join(); }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    using PendingResponse = std::shared_ptr<std::optional<absl::StatusOr<net::HttpResponse>>>;

    PendingResponse send(std::uint16_t port, const net::HttpRequest &request)
    {
        auto response = std::make_shared<std::optional<absl::StatusOr<net::HttpResponse>>>();
        m_http.send({"127.0.0.1", port}, request, {testTimeout, testTimeout},
                    [response](const auto &result) { response->emplace(result); });
        return response;
    }
    net::HttpResponse sendAndWait(std::uint16_t port, const net::HttpRequest &request)
    {
        const PendingResponse response = send(port, request);
        cr_assert(runUntil([&] { return response->has_value(); }));
        return (*response)->ok() ? ***response
                                 : net::HttpResponse {.status = 0, .headers = {}, .body = {}};
    }
    bool runUntil(const std::function<bool()> &condition)
    {
        const core::TimePoint deadline = m_timers.now() + testTimeout;
        const auto check = m_timers.every(std::chrono::milliseconds(1), [&] {
            if (condition() || m_timers.now() >= deadline)
                m_loop.stop();
        });
        m_loop.run();
        return condition();
    }
    bool isReady()
    {
        return sendAndWait(adminPort(),
                           {.method = "GET", .path = "/readyz", .headers = {}, .body = {}})
                   .status
            == 200;
    }
    void awaitReady()
    {
        const core::TimePoint deadline = m_timers.now() + testTimeout;
        while (!isReady() && m_timers.now() < deadline) { }
    }
    net::HttpResponse drain()
    {
        return sendAndWait(adminPort(),
                           {.method = "POST",
                            .path = "/admin/v1/drain",
                            .headers = {{"Authorization", "Bearer admin-secret"}},
                            .body = {}});
    }
    static net::HttpRequest orderRequest(const std::string &key)
    {
        return {.method = "POST",
                .path = "/services/orders/new",
                .headers = {{"Authorization", std::string("Bearer ") + callerToken},
                            {"Idempotency-Key", key}},
                .body = "{}"};
    }
    std::uint16_t adminPort() const { return m_daemon->adminPort(); }
    std::uint16_t callerPort() const { return m_daemon->callerPort(); }
    bool hasStopped() const { return m_hasStopped; }
    testsupport::ObjectApi &api() { return m_api; }

    std::shared_ptr<net::ServerExchange> serviceCall;

private:
    net::EventLoop m_loop;
    testsupport::ObjectApi m_api;
    net::TimerService m_timers;
    net::HttpClient m_http;
    net::HttpServer m_service;
    std::optional<Daemon> m_daemon;
    std::atomic<bool> m_hasStopped = false;
    std::thread m_thread;
};

} // namespace

// Guards against a planned stop that aborts an order, loses the record of its outcome, or keeps the
// lease.
Test(daemonstop, runningOrderIsAnsweredAndRecordedBeforeExit)
{
    Fixture fixture;
    fixture.awaitReady();
    // The host list may arrive shortly after the configuration; until then orders are not run.
    Fixture::PendingResponse orderResponse;
    int attempt = 0;
    cr_assert(fixture.runUntil([&] {
        if (!orderResponse || orderResponse->has_value())
            orderResponse = fixture.send(fixture.callerPort(),
                                         Fixture::orderRequest("key-" + std::to_string(++attempt)));
        return fixture.serviceCall != nullptr;
    }));
    cr_assert_eq(fixture.api().count("hostleases"), 1);

    cr_assert_eq(fixture.drain().status, 200);
    cr_assert_eq(fixture.drain().status, 200); // A second stop has no effect.
    cr_assert(not(fixture.isReady()));
    cr_assert_eq(fixture.sendAndWait(fixture.callerPort(), Fixture::orderRequest("late")).status,
                 0);
    cr_assert(not(fixture.hasStopped()));

    fixture.serviceCall->respond(
        {.status = 200, .headers = {}, .body = std::string(responseBytes, 'x')});
    fixture.serviceCall.reset();
    cr_assert(fixture.runUntil([&] { return fixture.hasStopped() && orderResponse->has_value(); }));
    cr_assert((*orderResponse)->ok());
    cr_assert_eq((**orderResponse)->status, 200);
    cr_assert_eq((**orderResponse)->body.size(), responseBytes);
    cr_assert_eq(fixture.api().count("hostleases"), 0);
    bool isSettled = false;
    const auto claims = fixture.api().specs("claims");
    for (const auto &spec : claims)
        isSettled = isSettled || spec.at("state") == "completed";
    cr_assert(isSettled);
}
