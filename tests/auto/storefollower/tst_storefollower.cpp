#include "gateway/fleetwatch.h"
#include "support/followerfixture.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr core::Duration observationTime = std::chrono::seconds(4);
// With delays from 0.1 to 1 s, and up to half of that at random, 4 s have room for seven attempts.
constexpr int maxAttempts = 8;
const std::vector<std::string> followedKinds {"config", "servers", "versions"};

/// A store with an object of each kind, and the parts of a daemon that follow it.
struct Fixture
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    PortPicker ports;
    net::Address storeAddress {"127.0.0.1", ports.take()};
    FakeStore store {loop, timers, storeAddress.port};
    FakeEndpoint first {loop, timers, "e-first", ports.take()};
    FakeEndpoint second {loop, timers, "e-second", ports.take()};
    Follower follower {loop, timers, storeAddress, bounds()};

    Fixture()
    {
        store.put("config", "main", configuration(1));
        store.put("servers", first.id, first.record("plain"));
        store.put("servers", second.id, second.record("plain"));
        putVersion(2);
    }

    void putVersion(int version)
    {
        store.put("versions", "m.a", {{"model", "m"}, {"adapter", "a"}, {"version", version}});
    }

    /// Ends the present watches with the loss of the history that they follow.
    void loseHistory()
    {
        store.put("config", "other", json::object());
        store.compactHistory();
    }

    /// Changes the lists of one kind.
    void editPages(const std::string &kind, const std::function<void(json &page)> &edit)
    {
        store.editPage = [kind, edit](const std::string &listed, json &page) {
            if (listed == kind)
                edit(page);
        };
    }

    void start()
    {
        follower.watch.start();
        runLoopFor(milliseconds(300));
    }

    bool waitUntil(const std::function<bool()> &condition)
    {
        return testsupport::waitUntil(loop, timers, condition, std::chrono::seconds(5));
    }

    bool waitUntilInitialized()
    {
        return waitUntil([this] { return follower.watch.isInitialized(); });
    }

    std::size_t endpoints() const { return follower.watch.endpoints().size(); }

    void runLoopFor(core::Duration time) { runFor(loop, timers, time); }
};

} // namespace

// Guards against a loop of calls to a store whose pages repeat: 16 daemons made 800 calls a second.
// The follower goes on as soon as the store answers as it should.
Test(storefollower, listWithoutProgressIsRetriedEverMoreSlowly, .timeout = 60)
{
    for (const std::string &kind : followedKinds) {
        Fixture fixture;
        fixture.editPages(kind, [](json &page) { page["has_more"] = true; });
        fixture.start();
        fixture.runLoopFor(observationTime);
        cr_expect_not(fixture.follower.watch.isInitialized(), "%s", kind.c_str());
        // Two pages show that there is no progress.
        cr_expect_leq(fixture.store.lists(kind), 2 * maxAttempts, "%s: %d pages", kind.c_str(),
                      fixture.store.lists(kind));
        fixture.store.editPage = nullptr;
        cr_expect(fixture.waitUntilInitialized(), "%s", kind.c_str());
        cr_expect_eq(fixture.endpoints(), 2U);
    }
}

// The same of a store whose pages return to an earlier one.
Test(storefollower, listThatReturnsToAnEarlierPageIsRetriedEverMoreSlowly, .timeout = 60)
{
    Fixture fixture;
    for (const char *name : {"e-0", "e-1", "e-3"})
        fixture.store.put("servers", name, fixture.first.record("plain"));
    fixture.store.setPageSize(1);
    fixture.editPages("servers", [](json &page) {
        json &name = page["items"][0]["metadata"]["name"];
        if (name == "e-3")
            name = "e-0";
        page["has_more"] = true;
    });
    fixture.start();
    fixture.runLoopFor(observationTime);
    cr_expect_not(fixture.follower.watch.isInitialized());
    constexpr int pagesPerAttempt = 3;
    cr_expect_leq(fixture.store.lists("servers"), pagesPerAttempt * maxAttempts, "%d pages",
                  fixture.store.lists("servers"));
}

// Guards against requests that wait at a daemon that has no complete list and can't expect one.
Test(storefollower, daemonWithoutAListDoesNotLetRequestsWait, .timeout = 60)
{
    for (const std::string &kind : followedKinds) {
        Fixture fixture;
        fixture.editPages(kind, [](json &page) { page["has_more"] = true; });
        fixture.start();
        for (int number = 0; number < 20; ++number) {
            cr_expect_not(fixture.follower.watch.isInitializing(), "%s", kind.c_str());
            fixture.runLoopFor(milliseconds(50));
        }
    }
}

// Guards against a list that ends early without an error: no endpoint that was left out was used
// before its entry changed, and known ones counted as gone.
Test(storefollower, incompletePageIsNoList, .timeout = 60)
{
    const std::vector<std::pair<const char *, std::function<void(json &)>>> edits {
        {"no items although more follow",
         [](json &page) {
             page["items"] = json::array();
             page["has_more"] = true;
         }},
        {"without items", [](json &page) { page.erase("items"); }},
        {"items are no array", [](json &page) { page["items"] = "none"; }},
        {"without has_more", [](json &page) { page.erase("has_more"); }},
        {"has_more is no boolean", [](json &page) { page["has_more"] = 1; }},
        {"without current_rev", [](json &page) { page.erase("current_rev"); }}};
    for (const auto &[name, edit] : edits) {
        Fixture fixture;
        fixture.editPages("servers", edit);
        fixture.start();
        cr_expect_not(fixture.follower.watch.isInitialized(), "%s", name);
        fixture.store.editPage = nullptr;
        cr_expect(fixture.waitUntilInitialized(), "%s", name);
        cr_expect_eq(fixture.endpoints(), 2U, "%s", name);
        fixture.runLoopFor(std::chrono::seconds(1)); // Until the first watch waits.
        fixture.editPages("servers", edit);
        fixture.loseHistory();
        fixture.runLoopFor(milliseconds(500));
        cr_expect_eq(fixture.endpoints(), 2U, "%s, known endpoints", name);
    }
}

// Guards against changes that are lost because an answer to a watch has no list of them.
Test(storefollower, answerWithoutEventsArrayIsNoAnswer, .timeout = 60)
{
    for (const json &events : {json(), json("none")}) {
        Fixture fixture;
        fixture.start();
        cr_assert(fixture.waitUntilInitialized());
        fixture.runLoopFor(std::chrono::seconds(1)); // Until the first watch waits.
        fixture.store.editEvents = [events](const std::string &kind, json &body) {
            if (kind == "servers")
                body["events"] = events;
        };
        fixture.store.remove("servers", fixture.first.id);
        fixture.runLoopFor(milliseconds(300));
        fixture.store.editEvents = nullptr;
        cr_expect(fixture.waitUntil([&fixture] { return fixture.endpoints() == 1; }));
    }
}

// Guards against a loop of lists at a store that has no history since its own list.
Test(storefollower, lostHistoryIsNotFollowedByALoopOfLists, .timeout = 60)
{
    Fixture fixture;
    fixture.store.setWatchStatus(410);
    fixture.start();
    cr_assert(fixture.waitUntilInitialized());
    fixture.runLoopFor(observationTime);
    for (const std::string &kind : followedKinds)
        cr_expect_leq(fixture.store.lists(kind), maxAttempts + 2, "%s: %d lists", kind.c_str(),
                      fixture.store.lists(kind));
    fixture.store.setWatchStatus(0);
    fixture.store.remove("servers", fixture.first.id);
    cr_expect(fixture.waitUntil([&fixture] { return fixture.endpoints() == 1; }));
}

// Guards against a delay of the list after a single loss of the history.
Test(storefollower, firstListAfterALossOfTheHistoryIsNotDelayed, .timeout = 60)
{
    Fixture fixture;
    fixture.start();
    cr_assert(fixture.waitUntilInitialized());
    fixture.runLoopFor(std::chrono::seconds(1)); // Until the first watch waits.
    const int lists = fixture.store.lists("servers");
    fixture.loseHistory();
    fixture.runLoopFor(milliseconds(60));
    cr_expect_eq(fixture.store.lists("servers"), lists + 1);
}

// Guards against a loop of watches at a store that answers them without a change and at once.
Test(storefollower, watchesThatDoNotWaitAreDelayed, .timeout = 60)
{
    Fixture fixture;
    fixture.store.setWatchesWait(false);
    fixture.start();
    cr_assert(fixture.waitUntilInitialized());
    fixture.runLoopFor(observationTime);
    const auto maxWatches = static_cast<int>(followedKinds.size()) * maxAttempts;
    cr_expect_leq(fixture.store.watches(), maxWatches, "%d watches", fixture.store.watches());
    fixture.store.remove("servers", fixture.first.id);
    cr_expect(fixture.waitUntil([&fixture] { return fixture.endpoints() == 1; }));
}
