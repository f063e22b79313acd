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

// Guards against relays that change with each daemon that joins; each change costs all others a
// turn to the store.
Test(relayselector, relayStaysWhileItIsPresent)
{
    RelaySelector choice;
    auto present = daemons(6);
    present[4].availableCores = 0.5;
    choice.update(present, now);
    cr_assert_not_null(choice.relayOf(domain));
    cr_assert_eq(*choice.relayOf(domain), core::HostId("h4"));
    present[1].availableCores = 1;
    choice.update(present, now);
    cr_assert_eq(*choice.relayOf(domain), core::HostId("h4"));
    present.erase(present.begin() + 4);
    choice.update(present, now);
    cr_assert_eq(*choice.relayOf(domain), core::HostId("h1"));
}

// Guards against the coordinator serving the watches of its domain beside its other duties.
Test(relayselector, coordinatorIsChosenLast)
{
    RelaySelector choice;
    auto present = daemons(4);
    present[2].availableCores = 0.5;
    present[2].isCoordinator = true;
    choice.update(present, now);
    cr_assert_eq(*choice.relayOf(domain), core::HostId("h0"));
}

// Guards against daemons of a small domain that depend on each other to save a call or two, and
// against a relay that is left over when its domain shrinks.
Test(relayselector, smallDomainsHaveNone)
{
    RelaySelector choice;
    choice.update(daemons(RelaySelector::minDaemons - 1), now);
    cr_assert_null(choice.relayOf(domain));
    choice.update(daemons(RelaySelector::minDaemons), now);
    cr_assert_not_null(choice.relayOf(domain));
    choice.update(daemons(RelaySelector::minDaemons - 1), now);
    cr_assert_null(choice.relayOf(domain));
}

// Guards against 32 daemons that follow a relay which the store does not answer: a third of all
// daemons were cut off from it for nine seconds, their domains' relays among them.
Test(relayselector, relayThatLostTheStoreIsReplaced)
{
    RelaySelector choice;
    auto present = daemons(6);
    choice.update(present, now);
    const core::HostId first = *choice.relayOf(domain);
    for (RelayCandidate &daemon : present)
        daemon.isInTouch = daemon.host != first;
    choice.update(present, now);
    const core::HostId second = *choice.relayOf(domain);
    cr_assert_neq(second, first);
    // Back in touch through the second one, the first is not taken when that is lost as well.
    for (RelayCandidate &daemon : present)
        daemon.isInTouch = daemon.host != second;
    choice.update(present, now + std::chrono::seconds(1));
    cr_assert_neq(*choice.relayOf(domain), first);
    cr_assert_neq(*choice.relayOf(domain), second);
    // While the store is lost to all nothing changes.
    const core::HostId third = *choice.relayOf(domain);
    for (RelayCandidate &daemon : present)
        daemon.isInTouch = false;
    choice.update(present, now + std::chrono::seconds(2));
    cr_assert_eq(*choice.relayOf(domain), third);
}

// Guards against a spare relay in another region while the own one has another, and against one
// relay that stands in for all domains.
Test(relayselector, spareIsOfTheSameRegion)
{
    RelaySelector choice;
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
    choice.update(present, now);
    const auto spareRelayOf = [&](const char *zone) {
        return choice.spareRelayOf(core::FailureDomainId(zone), regions)->value().substr(0, 2);
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
