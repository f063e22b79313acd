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

/// Names with characters that have a meaning in a path or a query, or none outside of ASCII; the
/// last ones look like escaped characters.
const std::vector<std::string> oddNames {
    "a&b", "a+b",    "a#b",       "a%b",      "a b",       "a?b",   "a/b",  "a=b",
    "a;b", "a\"b\\", "a\xC3\xA9", "a\x01\nb", "a&after=z", "a%7Ab", "a%zz", "%7Ab"};

std::string label(const std::string &name)
{
    return json(name).dump(-1, ' ', true);
}

/// A fixture with a list of endpoints of several pages, of which one entry, that names no endpoint
/// to use, is the last one of its page. The endpoints are on the last page.
struct PagedFixture : PlatformFixture
{
    static constexpr std::size_t pageSize = 3;
    std::string oddName;

    explicit PagedFixture(std::string name)
        : oddName(std::move(name))
    {
        for (std::size_t number = 1; number < pageSize; ++number)
            store.put("servers", namesBefore() + std::to_string(number), unusable());
        for (int number = 0; number < 4; ++number)
            store.put("servers", "b-" + std::to_string(number), unusable());
        store.put("servers", oddName, unusable());
        store.setPageSize(pageSize);
    }

    static json unusable() { return {{"service", "plain"}, {"state", "written by another"}}; }

    void restartDaemon()
    {
        killDaemon();
        startDaemon();
    }

    /// The share of requests that are served, one after the other.
    double servedShare()
    {
        constexpr int count = 20;
        int served = 0;
        for (int number = 0; number < count; ++number) {
            const auto id = "share" + std::to_string(m_requests++);
            served += call("/get/a", id)->head.status == 200 ? 1 : 0;
        }
        return static_cast<double>(served) / count;
    }

private:
    /// The begin of names of which none follows in the list after the entry. If possible they
    /// follow what is in front of its odd character, so that a page after that is the same again.
    std::string namesBefore() const
    {
        if (!oddName.starts_with('a'))
            return "!";
        return oddName > "a!" ? "a!" : "A-";
    }

    int m_requests = 0;
};

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

// Guards against a list that starts again at its first page, or that leaves out objects, because
// the name after which a page begins holds a character with a meaning in a query. No daemon that
// started while such an entry stood had a list of endpoints, and each asked the store without end.
Test(oddentries, listContinuesAfterAnyName, .timeout = 240)
{
    for (const std::string &name : oddNames) {
        PagedFixture fixture(name);
        fixture.killDaemon();
        const int lists = fixture.store.lists("servers");
        fixture.startDaemon();
        cr_expect(fixture.waitUntil([&fixture] { return fixture.pollReadiness() == 200; },
                                    std::chrono::seconds(5)),
                  "not ready beside %s", label(name).c_str());
        cr_expect_eq(fixture.servedShare(), 1.0, "beside %s", label(name).c_str());
        constexpr int pages = 3; // Of nine entries.
        cr_expect_leq(fixture.store.lists("servers") - lists, pages, "%d pages read beside %s",
                      fixture.store.lists("servers") - lists, label(name).c_str());
        fixture.store.remove("servers", name);
        expectStoreIsFollowed(fixture);
    }
}

// The same for each kind that a daemon lists.
Test(oddentries, listsOfAllKindsContinueAfterAnyName, .timeout = 240)
{
    for (const std::string &name : oddNames) {
        PagedFixture fixture(name);
        for (const char *kind : {"config", "versions"})
            fixture.store.put(kind, name, PagedFixture::unusable());
        fixture.store.put("versions", "z.a", {{"model", "z"}, {"adapter", "a"}, {"version", 2}});
        fixture.store.setPageSize(1);
        fixture.restartDaemon();
        cr_expect(fixture.waitUntil([&fixture] { return fixture.pollReadiness() == 200; },
                                    std::chrono::seconds(5)),
                  "not ready beside %s", label(name).c_str());
        cr_expect_eq(fixture.servedShare(), 1.0, "beside %s", label(name).c_str());
    }
}

// Guards against a daemon that calls the store without end while its list makes no progress, and
// that lets requests wait which it can't serve.
Test(oddentries, daemonWithoutAListRefusesAtOnce, .timeout = 120)
{
    for (const char *kind : {"config", "servers", "versions"}) {
        PlatformFixture fixture;
        fixture.store.editPage = [kind](const std::string &listed, json &page) {
            if (listed == kind)
                page["has_more"] = true;
        };
        fixture.store.put("versions", "z.a", {{"model", "z"}, {"adapter", "a"}, {"version", 2}});
        fixture.killDaemon();
        const int lists = fixture.store.lists();
        fixture.startDaemon();
        fixture.runLoopFor(milliseconds(1000));
        constexpr core::Duration answerLimit = milliseconds(200);
        for (int number = 0; number < 10; ++number) {
            const auto answer = fixture.call("/get/a", "r" + std::to_string(number));
            cr_expect_eq(answer->head.status, 503, "%s", kind);
            cr_expect(answer->head.headers.contains("Retry-After"), "%s", kind);
            cr_expect_lt(answer->endedAt - answer->startedAt, answerLimit, "%s", kind);
            fixture.runLoopFor(milliseconds(200));
        }
        cr_expect(fixture.waitUntil([&fixture] { return fixture.pollReadiness() == 503; }), "%s",
                  kind);
        constexpr int maxLists = 30;
        cr_expect_leq(fixture.store.lists() - lists, maxLists, "%s: %d pages", kind,
                      fixture.store.lists() - lists);
        fixture.store.editPage = nullptr;
        cr_expect(fixture.waitUntilServed("/get/a"), "%s", kind);
    }
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
