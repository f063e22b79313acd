#include "support/partitionfixture.h"

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

using Fault = FaultyLink::Fault;

constexpr char leaseKind[] = "jackdawlead-leases";

/// From the interruption of the links until all requests must be served again.
constexpr core::Duration detectionTime = std::chrono::milliseconds(1000);
constexpr core::Duration calmInterval = std::chrono::milliseconds(50);
/// More requests than the connections of the calm time can hold.
constexpr core::Duration busyInterval = std::chrono::milliseconds(20);

int servedCount(const SentRequests &requests)
{
    return static_cast<int>(std::ranges::count(requests, 200, &SentRequest::status));
}

core::Duration longestWait(const SentRequests &requests)
{
    core::Duration longest {};
    for (const SentRequest &request : requests)
        longest = std::max(longest, request.answer->endedAt - request.answer->startedAt);
    return longest;
}

void expectServedWithoutLinks(Fault fault)
{
    PartitionFixture fixture;
    const auto before = fixture.sendFor(std::chrono::seconds(1), calmInterval);
    fixture.waitForAll(before);
    cr_assert_eq(servedCount(before), static_cast<int>(before.size()));
    fixture.setFault(fault);
    const auto early = fixture.sendFor(detectionTime, busyInterval);
    const auto later = fixture.sendFor(std::chrono::seconds(3), busyInterval);
    fixture.waitForAll(later);
    constexpr double servedShare = 0.95;
    cr_expect(servedCount(later) >= servedShare * static_cast<double>(later.size()),
              "%d of %zu served, output:\n%s", servedCount(later), later.size(),
              fixture.output().c_str());
    cr_expect(longestWait(later) < std::chrono::seconds(1), "a request was held for %lld ms",
              static_cast<long long>(core::toMilliseconds(longestWait(later))));
    fixture.waitForAll(early);
    for (const SentRequest &request : early) {
        const auto runs = fixture.runsOf(request);
        cr_expect(request.mayRepeat || runs <= 1, "%s ran again", request.id.c_str());
        cr_expect(request.status() != 503 || runs == 0, "%s was refused and ran",
                  request.id.c_str());
    }
    const int relayed = fixture.firstLink.accepted() + fixture.secondLink.accepted();
    fixture.setFault(Fault::None);
    cr_expect(fixture.platform.waitUntil(
                  [&] {
                      return fixture.firstLink.accepted() + fixture.secondLink.accepted() > relayed
                          && fixture.output().find("reaches its endpoints again")
                          != std::string::npos;
                  },
                  std::chrono::seconds(3)),
              "the daemon must use its own links again, output:\n%s", fixture.output().c_str());
    const auto after = fixture.sendFor(std::chrono::seconds(1), calmInterval);
    fixture.waitForAll(after);
    cr_expect_eq(servedCount(after), static_cast<int>(after.size()));
}

} // namespace

// Guards against a daemon that serves nothing while only its own connections to the endpoints are
// reset and refused.
Test(partitions, daemonWithoutLinksServesWhenConnectionsAreReset, .timeout = 90)
{
    expectServedWithoutLinks(Fault::Reset);
}

// Guards against requests that wait until their deadline on connections that hang.
Test(partitions, daemonWithoutLinksServesWhenConnectionsHang, .timeout = 90)
{
    expectServedWithoutLinks(Fault::Silent);
}

// Guards against a coordinator that keeps the lease for orders although it reaches no endpoint, so
// that no daemon has adapters loaded.
Test(partitions, coordinatorWithoutLinksHandsTheLeaseOver, .timeout = 90)
{
    PartitionFixture fixture;
    PlatformFixture &platform = fixture.platform;
    const auto holder = [&platform] {
        const auto record = platform.store.spec(leaseKind, "orders");
        return record.is_null() || record.value("released", false)
            ? std::string()
            : record.value("holder", std::string());
    };
    platform.daemon.kill();
    cr_assert(platform.waitUntil([&] { return holder() == "h2"; }));
    platform.startDaemon();
    platform.runLoopFor(std::chrono::seconds(2));
    cr_assert_eq(holder(), "h2");
    fixture.setFault(Fault::Reset);
    const auto early = fixture.sendFor(detectionTime, calmInterval);
    cr_expect(platform.waitUntil([&] { return holder() == "h1"; }, std::chrono::seconds(5)),
              "the lease is with \"%s\", output:\n%s", holder().c_str(), fixture.output().c_str());
    fixture.setFault(Fault::None);
    const auto later = fixture.sendFor(std::chrono::seconds(1), calmInterval);
    fixture.waitForAll(later);
    cr_expect_eq(holder(), "h1", "the lease must not go back and forth");
}

// Guards against a daemon that takes an open connection for a working path: something between it
// and the endpoints accepts its connections and resets them, and 0 of 216 requests were served.
Test(partitions, daemonWithoutLinksServesWhenAcceptedConnectionsAreReset, .timeout = 90)
{
    expectServedWithoutLinks(Fault::AcceptedAndReset);
}

// The same if nothing comes over accepted connections: 96 of 240 requests were served.
Test(partitions, daemonWithoutLinksServesWhenAcceptedConnectionsAreSilent, .timeout = 90)
{
    expectServedWithoutLinks(Fault::AcceptedAndSilent);
}

// Guards against requests that fail because only new connections to the endpoints are refused.
Test(partitions, daemonServesWhenOnlyNewConnectionsAreRefused, .timeout = 90)
{
    expectServedWithoutLinks(Fault::Refusing);
}

// Guards against a daemon that takes endpoints that are silent for a while for an interruption of
// its own links, because other daemons can open connections to them.
Test(partitions, silentEndpointsAreNoInterruptionOfLinks, .timeout = 90)
{
    PartitionFixture fixture;
    const auto before = fixture.sendFor(std::chrono::seconds(1), calmInterval);
    fixture.waitForAll(before);
    for (FakeEndpoint *endpoint : {&fixture.platform.first, &fixture.platform.second})
        endpoint->pause();
    const auto silent = fixture.sendFor(std::chrono::seconds(2), busyInterval);
    for (FakeEndpoint *endpoint : {&fixture.platform.first, &fixture.platform.second})
        endpoint->resume();
    fixture.waitForAll(silent);
    const std::string output = fixture.output();
    cr_expect(output.find("own connections fail") == std::string::npos
                  && output.find("has lost all of its") == std::string::npos,
              "output:\n%s", output.c_str());
}
