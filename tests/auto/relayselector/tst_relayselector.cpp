#include "decisions/relayselector.h"

#include <criterion/criterion.h>

#include <string>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

const core::FailureDomainId domain {"z1"};
const core::TimePoint now {std::chrono::seconds(100)};

std::vector<RelayCandidate> daemons(int count)
{
    std::vector<RelayCandidate> candidates;
    candidates.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        candidates.push_back({core::HostId("h" + std::to_string(number)), domain, 0.12, false});
    return candidates;
}

} // namespace

// Guards against relays that change with each daemon that joins; each change costs all other
// daemons one call to the store.
Test(relayselector, presentRelayIsKept)
{
    RelaySelector selector;
    auto present = daemons(6);
    present[4].availableCores = 0.5;
    selector.update(present, now);
    cr_assert_not_null(selector.relayOf(domain));
    cr_assert_eq(*selector.relayOf(domain), core::HostId("h4"));
    present[1].availableCores = 1;
    selector.update(present, now);
    cr_assert_eq(*selector.relayOf(domain), core::HostId("h4"));
    present.erase(present.begin() + 4);
    selector.update(present, now);
    cr_assert_eq(*selector.relayOf(domain), core::HostId("h1"));
}

// Guards against the coordinator serving the watches of its domain in addition to its other tasks.
Test(relayselector, coordinatorIsSelectedLast)
{
    RelaySelector selector;
    auto present = daemons(4);
    present[2].availableCores = 0.5;
    present[2].isCoordinator = true;
    selector.update(present, now);
    cr_assert_eq(*selector.relayOf(domain), core::HostId("h0"));
}

// Guards against daemons of a small domain that depend on each other to save one or two calls, and
// against a relay that remains when its domain shrinks.
Test(relayselector, smallDomainHasNoRelay)
{
    RelaySelector selector;
    selector.update(daemons(RelaySelector::minDaemons - 1), now);
    cr_assert_null(selector.relayOf(domain));
    selector.update(daemons(RelaySelector::minDaemons), now);
    cr_assert_not_null(selector.relayOf(domain));
    selector.update(daemons(RelaySelector::minDaemons - 1), now);
    cr_assert_null(selector.relayOf(domain));
}

// Guards against 32 daemons that follow a relay which does not reach the store: a third of all
// daemons were disconnected from it for nine seconds, the relays of their domains among them.
Test(relayselector, relayWithoutStoreIsReplaced)
{
    RelaySelector selector;
    auto present = daemons(6);
    selector.update(present, now);
    const core::HostId first = *selector.relayOf(domain);
    for (RelayCandidate &daemon : present)
        daemon.isInTouch = daemon.host != first;
    selector.update(present, now);
    const core::HostId second = *selector.relayOf(domain);
    cr_assert_neq(second, first);
    // The first relay reaches the store again through the second one, and is not selected when the
    // second one loses the store as well.
    for (RelayCandidate &daemon : present)
        daemon.isInTouch = daemon.host != second;
    selector.update(present, now + std::chrono::seconds(1));
    cr_assert_neq(*selector.relayOf(domain), first);
    cr_assert_neq(*selector.relayOf(domain), second);
    // While no daemon reaches the store, nothing changes.
    const core::HostId third = *selector.relayOf(domain);
    for (RelayCandidate &daemon : present)
        daemon.isInTouch = false;
    selector.update(present, now + std::chrono::seconds(2));
    cr_assert_eq(*selector.relayOf(domain), third);
}

// Guards against a spare relay in another region although the own region has another one, and
// against one relay that is the spare of all domains.
Test(relayselector, spareRelayIsInSameRegion)
{
    RelaySelector selector;
    std::vector<RelayCandidate> present;
    std::map<core::FailureDomainId, core::RegionId> regions;
    for (const auto &[zone, region] :
         {std::pair {"a1", "a"}, {"b1", "b"}, {"a2", "a"}, {"b2", "b"}, {"a3", "a"}}) {
        regions[core::FailureDomainId(zone)] = core::RegionId(region);
        for (RelayCandidate daemon : daemons(4)) {
            daemon.domain = core::FailureDomainId(zone);
            daemon.host = core::HostId(std::string(zone) + daemon.host.value());
            present.push_back(daemon);
        }
    }
    selector.update(present, now);
    const auto spareRelayOf = [&](const char *zone) {
        return selector.spareRelayOf(core::FailureDomainId(zone), regions)->value().substr(0, 2);
    };
    cr_assert_eq(spareRelayOf("a1"), "a2");
    cr_assert_eq(spareRelayOf("a2"), "a3");
    cr_assert_eq(spareRelayOf("a3"), "a1");
    cr_assert_eq(spareRelayOf("b1"), "b2");
    cr_assert_eq(spareRelayOf("b2"), "b1");
    regions[core::FailureDomainId("b2")] = core::RegionId("c");
    cr_assert_eq(spareRelayOf("b2"), "a1");
    cr_assert_null(RelaySelector().spareRelayOf(domain, regions));
}
