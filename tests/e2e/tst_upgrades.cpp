#include "earliercoordinator.h"
#include "support/earliermessages.h"
#include "support/partitionfixture.h"

#include <csignal>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

using Fault = FaultyLink::Fault;

constexpr char directoryKind[] = "jackdawlead-daemons";
constexpr core::Duration requestInterval = milliseconds(20);
/// From the interruption of the links until all requests must be served again.
constexpr core::Duration detectionTime = std::chrono::seconds(1);

bool isListed(PartitionFixture &fixture, const std::string &host)
{
    return !fixture.platform.store.spec(directoryKind, host).is_null();
}

/// Runs until both daemons follow the earlier coordinator and have read what they state in the
/// store.
void runUnderEarlierCoordinator(PartitionFixture &fixture, const EarlierCoordinator &coordinator)
{
    constexpr int reports = 10;
    cr_assert(fixture.platform.waitUntil([&] { return coordinator.reports() >= reports; }));
    constexpr core::Duration readTime = std::chrono::seconds(4);
    fixture.platform.runLoopFor(readTime);
}

void expectServedWithoutLinks(PartitionFixture &fixture)
{
    fixture.setFault(Fault::Reset);
    const auto early = fixture.sendFor(detectionTime, requestInterval);
    const auto later = fixture.sendFor(std::chrono::seconds(3), requestInterval);
    fixture.waitForAll(early);
    fixture.waitForAll(later);
    const auto served = std::ranges::count(later, 200, &SentRequest::status);
    constexpr double servedShare = 0.95;
    cr_expect(static_cast<double>(served) >= servedShare * static_cast<double>(later.size()),
              "%ld of %zu served, output:\n%s", static_cast<long>(served), later.size(),
              fixture.output().c_str());
}

} // namespace

// Guards against a daemon without links that refuses everything, in an upgrade, because the
// coordinator is of a release that does not know the way through other daemons.
Test(upgrades, daemonWithoutLinksServesUnderAnEarlierCoordinator, .timeout = 120)
{
    PartitionFixture fixture;
    EarlierCoordinator coordinator(fixture.platform, earlier::viewOfE304079);
    runUnderEarlierCoordinator(fixture, coordinator);
    expectServedWithoutLinks(fixture);
}

// Guards against entries of daemons that stopped, to which requests would be sent.
Test(upgrades, stoppedDaemonLeavesTheDirectory, .timeout = 120)
{
    PartitionFixture fixture;
    EarlierCoordinator coordinator(fixture.platform, earlier::viewOfE304079);
    runUnderEarlierCoordinator(fixture, coordinator);
    cr_assert(isListed(fixture, "h2"));
    fixture.daemon.signal(SIGTERM);
    cr_assert(fixture.platform.waitUntil([&] { return !isListed(fixture, "h2"); }));
}

// Guards against calls to the store that only an upgrade needs.
Test(upgrades, directoryIsNotUsedUnderAPresentCoordinator, .timeout = 120)
{
    PartitionFixture fixture;
    fixture.platform.runLoopFor(std::chrono::seconds(2));
    cr_expect_not(isListed(fixture, "h1"));
    cr_expect_not(isListed(fixture, "h2"));
}
