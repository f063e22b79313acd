#include "support/platformfixture.h"
#include "support/rawendpoint.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Specs that another writer may leave among those of the endpoints.
std::vector<std::string> oddSpecs(const FakeEndpoint &endpoint)
{
    const auto with = [&endpoint](const std::string &field, const std::string &value) {
        json record = endpoint.record("plain");
        record[field] = "@";
        std::string text = record.dump();
        return text.replace(text.find("\"@\""), 3, value);
    };
    return {nested(100000),
            with("models", nested(100000)),
            with("slots", "1e999"),
            with("slots", "1e300"),
            with("slots", "-1"),
            with("born", "1e300"),
            with("seq", "-1e300"),
            with("remaining_ms", "1e300"),
            with("address", "\"127.0.0.1:70000\""),
            with("zone", "\"\xFF\xFE\""),
            "17",
            "null"};
}

/// Expects that the daemon still follows the endpoints and the configuration, and serves.
void expectStoreIsFollowed(PlatformFixture &fixture)
{
    fixture.store.remove("servers", fixture.first.id);
    fixture.store.put("servers", fixture.second.id, fixture.second.record("other"));
    fixture.store.put("config", "main",
                      configuration(2, json::array({route("/new/", "other", "idempotent")})));
    cr_assert(fixture.waitUntilServed("/new/a"), "%s", fixture.output().c_str());
    cr_assert_eq(fixture.daemon.exitCode(), std::nullopt);
}

} // namespace

// Guards against a daemon that ends, or stops following the endpoints, because of one entry that
// cannot be read; here it finds the entries in the list.
Test(oddentries, oddEntriesInTheListAreSkipped, .timeout = 60)
{
    PlatformFixture fixture;
    int number = 0;
    for (const std::string &spec : oddSpecs(fixture.first))
        fixture.store.putText("servers", "a-odd" + std::to_string(number++), spec);
    fixture.daemon.kill();
    fixture.startDaemon();
    cr_assert(fixture.waitUntilServed("/get/a"), "%s", fixture.output().c_str());
    expectStoreIsFollowed(fixture);
}

// The same for entries that arrive as changes, alone and beside others.
Test(oddentries, oddEntriesInEventsAreSkipped, .timeout = 60)
{
    PlatformFixture fixture;
    int number = 0;
    for (const std::string &spec : oddSpecs(fixture.first)) {
        fixture.store.putText("servers", "a-odd" + std::to_string(number++), spec);
        if (number % 3 == 0)
            fixture.runLoopFor(milliseconds(1200));
    }
    expectStoreIsFollowed(fixture);
}

// Guards against using an endpoint whose entry was replaced by one that cannot be read.
Test(oddentries, endpointWithAnOddEntryIsNotUsed, .timeout = 60)
{
    PlatformFixture fixture;
    fixture.store.putText("servers", fixture.first.id, nested(100000));
    fixture.runLoopFor(milliseconds(2500));
    fixture.first.runs.clear();
    for (int number = 0; number < 10; ++number)
        cr_assert_eq(fixture.call("/get/a", "r" + std::to_string(number))->head.status, 200);
    cr_assert(fixture.first.runs.empty());
}

// The same for versions of adapters, the configuration and the daemons' own lease.
Test(oddentries, oddEntriesOfOtherKindsAreSkipped, .timeout = 60)
{
    PlatformFixture fixture;
    fixture.store.putText("versions", "odd", nested(100000));
    fixture.store.putText("versions", "odder", R"({"model":"m","adapter":"a","version":1e300})");
    fixture.store.putText("config", "odd", nested(100000));
    fixture.store.putText("config", "main", R"({"version":1e999})");
    fixture.store.putText("jackdawlead-leases", "odd", nested(100000));
    fixture.runLoopFor(milliseconds(2500));
    cr_assert_eq(fixture.call("/get/a", "r1")->head.status, 200, "%s", fixture.output().c_str());
    expectStoreIsFollowed(fixture);
}

// Guards against a coordinator that loses its lease because the state that is kept with it cannot
// be read.
Test(oddentries, oddSharedStateDoesNotEndTheLease, .timeout = 60)
{
    PlatformFixture fixture;
    const auto lease = [&fixture] { return fixture.store.spec("jackdawlead-leases", "orders"); };
    cr_assert(fixture.waitUntil([&lease] { return !lease().is_null(); }));
    const auto token = lease().at("token");
    json odd = lease();
    odd["shared"] = 17;
    fixture.store.put("jackdawlead-leases", "orders", odd);
    cr_assert(fixture.waitUntil([&lease] { return lease().at("shared").is_array(); }), "%s",
              fixture.output().c_str());
    cr_assert_eq(lease().at("token"), token, "%s", fixture.output().c_str());
}

// Guards against a daemon that ends because of an endpoint's odd report, and against asking such an
// endpoint for its report again and again: each report request is a probe that costs.
Test(oddentries, oddReportIsNotRequestedWithoutAPause, .timeout = 60)
{
    PlatformFixture fixture("model");
    RawEndpoint odd(fixture.loop, "e-odd", fixture.picker.take());
    odd.reportBody = R"({"born":1,"seq":1e300,"models":)" + nested(100000) + "}";
    fixture.store.put("servers", odd.id, odd.record("model"));
    cr_assert(fixture.waitUntil([&odd] { return odd.reports > 0; }));
    constexpr core::Duration time = milliseconds(3000);
    constexpr int maxReports = 15;
    fixture.runLoopFor(time);
    cr_assert_leq(odd.reports, maxReports, "%d report requests", odd.reports);
    cr_assert_eq(fixture.daemon.exitCode(), std::nullopt);
}
