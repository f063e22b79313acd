#include "rpc/rpccodec.h"
#include "support/earliermessages.h"
#include "support/forwardingfixture.h"

#include <string_view>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

using std::chrono::seconds;

constexpr char firstKey[] = "sk-first-5e1d";
constexpr char secondKey[] = "sk-second-9a2b";
constexpr char unknownKey[] = "sk-unknown-77c3";
// bounds.config_ms of the fixture.
constexpr core::Duration configurationBound = seconds(3);

json customer(const std::string &name, const json &keys)
{
    return {{"name", name}, {"api_keys", keys}};
}

/// A configuration whose customers hold keys; requests to /open/ need none.
json configurationWith(int version, const json &customers)
{
    json routes = defaultRoutes();
    routes.push_back(route("/open/", "plain", "idempotent"));
    routes.back()["anonymous"] = true;
    json spec = configuration(version, routes);
    spec["tenants"] = customers;
    return spec;
}

json firstCustomer()
{
    return json::array({customer("first", {firstKey})});
}

std::string requestText(const std::string &path, const std::string &id, const std::string &fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: 4000\r\n" + fields + "Content-Length: 4\r\n\r\nbody";
}

std::string keyField(std::string_view key)
{
    return "Api-Key: " + std::string(key) + "\r\n";
}

bool hasKey(std::string_view text)
{
    return text.find("sk-") != std::string_view::npos;
}

bool hasKey(const http::MessageHead &head)
{
    return head.headers.contains("Api-Key")
        || std::ranges::any_of(head.headers.fields(),
                               [](const auto &field) { return hasKey(field.second); });
}

/// A daemon whose configuration lists one customer.
struct KeyFixture : PlatformFixture
{
    int sent = 0;
    std::uint16_t metricsPort = picker.take();

    explicit KeyFixture(const char *service = "plain", const json &customers = firstCustomer())
        : PlatformFixture(service, false)
    {
        killDaemon();
        daemon
            = Process({JACKDAWLEADD, "--platform", "--metrics-port", std::to_string(metricsPort)},
                      folder + "/output");
        store.put("config", "main", configurationWith(1, customers));
        cr_assert(waitUntil([this] { return pollReadiness() == 200; }));
    }

    AnswerPtr start(const std::string &fields, const std::string &path = "/get/")
    {
        return send(callerPort, requestText(path, "r" + std::to_string(++sent), fields));
    }

    AnswerPtr ended(AnswerPtr answer)
    {
        cr_assert(waitUntil([&answer] { return answer->isEnded; }), "%s", output().c_str());
        return answer;
    }

    int statusOf(const std::string &fields, const std::string &path = "/get/")
    {
        return ended(start(fields, path))->head.status;
    }

    /// Sends requests until one has this status.
    bool waitForStatus(const std::string &fields, int status)
    {
        const core::TimePoint end = timers.now() + limit;
        while (timers.now() < end) {
            if (statusOf(fields) == status)
                return true;
            runLoopFor(milliseconds(50));
        }
        return false;
    }

    std::vector<http::MessageHead> heads() const
    {
        std::vector<http::MessageHead> all = first.heads;
        all.insert(all.end(), second.heads.begin(), second.heads.end());
        return all;
    }
};

} // namespace

// Guards against keys that reach endpoints, logs or metrics.
Test(customerkeys, keyIsNeverForwardedOrShown, .timeout = 90)
{
    KeyFixture fixture;
    cr_expect_eq(fixture.statusOf(keyField(firstKey)), 200, "%s", fixture.output().c_str());
    cr_expect_eq(fixture.statusOf(keyField(firstKey), "/open/"), 200);
    cr_expect_eq(fixture.statusOf(keyField(unknownKey)), 401);
    cr_expect_eq(fixture.statusOf(keyField(unknownKey), "/nowhere/"), 404);
    for (const auto &head : fixture.heads())
        cr_expect_not(hasKey(head), "%s", head.target.c_str());
    const auto metrics = fixture.ended(
        fixture.send(fixture.metricsPort, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"));
    cr_expect(metrics->body.find("jackdawlead_customer_requests_total{customer=\"first\"} 1")
              != std::string::npos);
    cr_expect(metrics->body.find("jackdawlead_invalid_keys_total 1") != std::string::npos);
    cr_expect_not(hasKey(metrics->body));
    cr_expect_not(hasKey(fixture.output()), "%s", fixture.output().c_str());
}

// Guards against 401, after which clients give up, from a daemon that may lack the newest keys, and
// against a daemon without the store that refuses the keys it knows.
Test(customerkeys, unknownKeyGets401OnlyIfCurrent, .timeout = 90)
{
    KeyFixture fixture;
    cr_expect_eq(fixture.statusOf(keyField(unknownKey)), 401);
    cr_expect_eq(fixture.statusOf({}), 401);
    for (const auto mode : {FakeStore::Mode::Refusing, FakeStore::Mode::Silent}) {
        fixture.store.setMode(mode);
        fixture.runLoopFor(configurationBound);
        const auto refused = fixture.ended(fixture.start(keyField(unknownKey)));
        cr_expect_eq(refused->head.status, 503, "%s", fixture.output().c_str());
        cr_expect(refused->head.headers.contains("Retry-After"));
        cr_expect(refused->endedAt - refused->startedAt < seconds(1));
        cr_expect_eq(fixture.statusOf(keyField(firstKey)), 200);
    }
    const std::string log = fixture.output();
    cr_expect(log.find("unknown key, configuration 1 in force for ") != std::string::npos);
    fixture.store.setMode(FakeStore::Mode::Serving);
    cr_expect(fixture.waitForStatus(keyField(unknownKey), 401));
}

// Guards against 401 for a key that the store holds for longer than the bound, also if the change
// has not reached the daemon.
Test(customerkeys, addedKeyGetsNo401, .timeout = 90)
{
    KeyFixture fixture;
    json customers = firstCustomer();
    customers.push_back(customer("second", {secondKey}));
    // Its present watch ends within the bound, and the next ones bring nothing.
    fixture.store.setSilentKind("config");
    fixture.runLoopFor(configurationBound);
    fixture.store.put("config", "main", configurationWith(2, customers));
    fixture.runLoopFor(configurationBound);
    std::vector<AnswerPtr> answers;
    for (int number = 0; number < 60; ++number) {
        answers.push_back(fixture.start(keyField(secondKey)));
        fixture.runLoopFor(milliseconds(50));
    }
    for (const AnswerPtr &answer : answers)
        cr_expect_eq(fixture.ended(answer)->head.status, 503);
    fixture.store.setSilentKind({});
    cr_expect(fixture.waitForStatus(keyField(secondKey), 200), "%s", fixture.output().c_str());
    fixture.store.put("config", "main", configurationWith(3, json::array({customers[1]})));
    cr_expect(fixture.waitForStatus(keyField(firstKey), 401));
}

// Guards against a key that stays valid on a connection which was opened before it was withdrawn,
// and against a request that is broken off by that.
Test(customerkeys, withdrawnKeyIsRefusedOnOpenConnections, .timeout = 90)
{
    KeyFixture fixture;
    FakeEndpoint::Exchange held;
    for (FakeEndpoint *endpoint : {&fixture.first, &fixture.second}) {
        endpoint->run = [&](const FakeEndpoint::Exchange &exchange) {
            if (exchange->head.target == "/get/held")
                held = exchange;
            else
                exchange->respond(200, FakeEndpoint::stamped(exchange), "answer");
        };
    }
    const AnswerPtr before = fixture.ended(fixture.start(keyField(firstKey)));
    cr_assert_eq(before->head.status, 200);
    const AnswerPtr running = fixture.start(keyField(firstKey), "/get/held");
    cr_assert(fixture.waitUntil([&] { return held != nullptr; }));
    fixture.store.put("config", "main",
                      configurationWith(2, json::array({customer("first", {secondKey})})));
    fixture.runLoopFor(configurationBound);
    int status = 0;
    http::ExchangeObserver observer;
    observer.onHead = [&status](http::MessageHead &head) { status = head.status; };
    observer.onBody = [](const std::string &) {};
    observer.onEnd = [](http::ExchangeEnd) {};
    before->connection->send({requestText("/get/", "again", keyField(firstKey)), false, "", ""},
                             std::move(observer));
    cr_assert(fixture.waitUntil([&status] { return status != 0; }));
    cr_expect_eq(status, 401);
    held->respond(200, FakeEndpoint::stamped(held), "late answer");
    cr_expect_eq(fixture.ended(running)->head.status, 200);
    cr_expect(running->body == "late answer");
}

// Guards against callers that act as another customer or choose their priority, and against
// requests without a customer that state one.
Test(customerkeys, callersCannotSetTheCustomer, .timeout = 90)
{
    KeyFixture fixture;
    const std::string forged = "Tenant: other\r\ntenant: x\r\nRequest-Priority: 0\r\n";
    // A field that the connection lists is dropped, which must not concern the daemon's own one.
    const std::string listed = forged + "Connection: Tenant\r\n";
    cr_expect_eq(fixture.statusOf(keyField(firstKey) + forged), 200);
    cr_expect_eq(fixture.statusOf(keyField(firstKey) + listed), 200);
    cr_expect_eq(fixture.statusOf(forged, "/open/"), 200);
    cr_expect_eq(fixture.statusOf(listed, "/open/"), 200);
    cr_expect_eq(fixture.statusOf(forged), 401);
    int ofCustomers = 0;
    for (const auto &head : fixture.heads()) {
        if (!head.headers.contains("Request-Id"))
            continue;
        const bool isOfCustomer = head.target == "/get/";
        ofCustomers += isOfCustomer ? 1 : 0;
        net::Headers rest = head.headers;
        cr_expect(rest.value("Tenant") == (isOfCustomer ? "first" : ""));
        cr_expect(rest.value("Request-Priority") == (isOfCustomer ? "1" : ""));
        const auto names = std::ranges::count_if(rest.fields(), [](const auto &field) {
            return field.first == "Tenant" || field.first == "tenant";
        });
        cr_expect_eq(names, isOfCustomer ? 1 : 0);
    }
    cr_expect_eq(ofCustomers, 2);
}

// Guards against a deployment without customers whose endpoints receive other bytes than before, or
// whose requests need keys.
Test(customerkeys, nothingChangesWithoutCustomers, .timeout = 90)
{
    PlatformFixture fixture;
    const std::string fields = "aPi-Key: x\r\nApi-Key: y\r\ntenant: z\r\nTenant: \r\n";
    const AnswerPtr answer = fixture.send(fixture.callerPort, requestText("/get/", "r1", fields));
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert_eq(answer->head.status, 200);
    auto heads = fixture.first.heads;
    heads.insert(heads.end(), fixture.second.heads.begin(), fixture.second.heads.end());
    std::erase_if(heads, [](const auto &head) { return head.target != "/get/"; });
    cr_assert_eq(heads.size(), 1);
    std::string names;
    for (const auto &[name, value] : heads[0].headers.fields())
        names
            += name + "=" + (name == "Expect-Instance" || name == "Deadline-Ms" ? "" : value) + ";";
    cr_expect_str_eq(names.c_str(),
                     "Host=a.example;Request-Id=r1;aPi-Key=x;Api-Key=y;tenant=z;Tenant=;"
                     "Expect-Instance=;Deadline-Ms=;Content-Length=4;");
    cr_expect(fixture.output().find("customer") == std::string::npos);
}

// Guards against keys at the endpoint on the further sends of a request.
Test(customerkeys, resumedStreamsCarryTheCustomer, .timeout = 90)
{
    KeyFixture fixture("model");
    fixture.first.run = fixture.second.run = [](const FakeEndpoint::Exchange &exchange) {
        const bool isFirst = exchange->head.headers.value("Last-Event-Id").empty();
        stream(exchange, isFirst ? 3 : 6, isFirst);
    };
    const auto answer = fixture.ended(fixture.start(
        keyField(firstKey) + "Model: base\r\nToken-Count: 10,10\r\nTenant: x\r\n", "/stream/"));
    cr_expect(answer->body == events(1, 6), "%s", fixture.output().c_str());
    int runs = 0;
    for (const auto &head : fixture.heads()) {
        if (head.target != "/stream/")
            continue;
        ++runs;
        cr_expect_not(hasKey(head));
        cr_expect(head.headers.value("Tenant") == "first");
    }
    cr_expect_eq(runs, 2);
}

// Guards against keys that travel between daemons, and against endpoints that don't learn the
// customer of a request that another daemon sends.
Test(customerkeys, requestsThroughOtherDaemonsCarryTheCustomer, .timeout = 90)
{
    ForwardingFixture fixture;
    fixture.platform.store.put("config", "main", configurationWith(2, firstCustomer()));
    fixture.platform.runLoopFor(configurationBound);
    fixture.platform.first.heads.clear();
    fixture.platform.second.heads.clear();
    const AnswerPtr answer = fixture.platform.send(
        fixture.cut.callerPort,
        requestText("/get/", "keyed", keyField(firstKey) + "Tenant: other\r\n"));
    cr_assert(fixture.platform.waitUntil([&] { return answer->isEnded; }));
    cr_expect_eq(answer->head.status, 200, "%s", fixture.cut.output().c_str());
    auto heads = fixture.platform.first.heads;
    heads.insert(heads.end(), fixture.platform.second.heads.begin(),
                 fixture.platform.second.heads.end());
    std::erase_if(heads, [](const auto &head) { return head.target != "/get/"; });
    cr_assert_eq(heads.size(), 1);
    cr_expect_not(hasKey(heads[0]));
    cr_expect(heads[0].headers.value("Tenant") == "first");
    cr_expect_not(hasKey(fixture.platform.output() + fixture.cut.output()));
}

// Guards against a request that a daemon of an earlier release passes on with its key, which nobody
// has checked.
Test(customerkeys, keyOfAnEarlierDaemonIsRefused, .timeout = 90)
{
    KeyFixture fixture;
    const auto handIn = [&fixture](const std::string &id, const std::string &fields) {
        const std::string inner = requestText("/get/", id, fields + "Expect-Instance: e-first\r\n");
        return fixture.ended(
            fixture.send(fixture.peerPort,
                         "POST /endpoint-request HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id
                             + "\r\nJackdawlead-Endpoint: e-first\r\nContent-Length: "
                             + std::to_string(inner.size()) + "\r\n\r\n" + inner));
    };
    const AnswerPtr refused = handIn("earlier", "aPi-keY: sk-first-5e1d\r\n");
    cr_expect_eq(refused->head.status, 503);
    cr_expect(refused->head.headers.value("Jackdawlead-Outcome") == "busy");
    cr_expect(fixture.first.runs.empty());
    cr_expect(handIn("checked", "Tenant: first\r\n")->head.status == 200);
    fixture.store.put("config", "main", configuration(2, defaultRoutes()));
    fixture.runLoopFor(configurationBound);
    cr_expect(handIn("without", keyField(firstKey))->head.status == 200);
    cr_expect_not(hasKey(fixture.output()));
}

// Guards against daemons that serve requests without a check of their keys and of which nobody
// knows.
Test(customerkeys, earlierDaemonsAreWarnedOf, .timeout = 90)
{
    KeyFixture fixture;
    const std::string params = std::string("{\"cbor\":\"") + earlier::reportOfE304079 + "\"}";
    const std::string call = rpc::encodeCall({"report"}, {params}).value.text;
    AnswerPtr answer;
    const auto report = fixture.timers.every(milliseconds(500), [&] {
        answer = fixture.send(fixture.peerPort,
                              "POST /rpc HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                              "Content-Length: "
                                  + std::to_string(call.size()) + "\r\n\r\n" + call);
    });
    const std::string warning = "1 daemons do not state that they check keys: h2";
    cr_expect(
        fixture.waitUntil([&] { return fixture.output().find(warning) != std::string::npos; }),
        "%s", fixture.output().c_str());
    const auto metrics = fixture.ended(
        fixture.send(fixture.metricsPort, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"));
    cr_expect(metrics->body.find("jackdawlead_daemons_without_keys 1") != std::string::npos);
}

// Guards against fields of any content that crash the daemon or admit a request.
Test(customerkeys, oddKeysGet401, .timeout = 90)
{
    KeyFixture fixture;
    const std::string odd[] = {keyField(""),
                               keyField(firstKey) + keyField(firstKey),
                               keyField(firstKey) + "api-key: \r\n",
                               keyField("sch\xc3\xbcssel\xff\x80"),
                               keyField(std::string(8000, 'k')),
                               keyField(std::string("Bearer ") + firstKey)};
    for (const std::string &fields : odd)
        cr_expect_eq(fixture.statusOf(fields), 401, "%s", fields.substr(0, 40).c_str());
    const int ofLongKey = fixture.statusOf(keyField(std::string(65536, 'k')));
    cr_expect(ofLongKey >= 400 && ofLongKey < 500, "status %d", ofLongKey);
    cr_expect(fixture.heads().empty()
              || std::ranges::none_of(fixture.heads(), [](const auto &head) {
                     return head.target.starts_with("/get/");
                 }));
    cr_expect_eq(fixture.statusOf(keyField(firstKey)), 200);
}

// Guards against a configuration with an error that opens the routes or withdraws keys, and against
// errors that show a key.
Test(customerkeys, faultyCustomersLeaveTheConfigurationInForce, .timeout = 90)
{
    KeyFixture fixture;
    const json twice
        = json::array({customer("first", {firstKey, secondKey}), customer("second", {secondKey})});
    fixture.store.put("config", "main", configurationWith(2, twice));
    fixture.store.put("config", "main", configurationWith(3, "sk-text"));
    fixture.store.putText("config", "main",
                          R"({"version":4,"tenants":[{"api_keys":["sk-cut)"
                          "\x01"
                          R"(]}]})");
    fixture.runLoopFor(seconds(1));
    cr_expect_eq(fixture.statusOf(keyField(firstKey)), 200);
    cr_expect_eq(fixture.statusOf(keyField(secondKey)), 401);
    cr_expect_eq(fixture.statusOf({}), 401);
    const std::string log = fixture.output();
    cr_expect(log.find("tenants[1].api_keys[0]: also a key of tenants[0]") != std::string::npos,
              "%s", log.c_str());
    cr_expect(log.find("tenants: not a list") != std::string::npos);
    cr_expect_not(hasKey(log), "%s", log.c_str());
}
