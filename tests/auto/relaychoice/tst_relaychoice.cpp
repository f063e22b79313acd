#include "decisions/relaychoice.h"

#include <criterion/criterion.h>

#include <string>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

const core::FailureDomainId domain {"z1"};

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
Test(relaychoice, relayStaysWhileItIsPresent)
{
    RelayChoice choice;
    auto present = daemons(6);
    present[4].processorShare = 0.5;
    choice.update(present);
    cr_assert_not_null(choice.relayOf(domain));
    cr_assert_eq(*choice.relayOf(domain), core::HostId("h4"));
    present[1].processorShare = 1;
    choice.update(present);
    cr_assert_eq(*choice.relayOf(domain), core::HostId("h4"));
    present.erase(present.begin() + 4);
    choice.update(present);
    cr_assert_eq(*choice.relayOf(domain), core::HostId("h1"));
}

// Guards against the coordinator serving the watches of its domain beside its other duties.
Test(relaychoice, coordinatorIsChosenLast)
{
    RelayChoice choice;
    auto present = daemons(4);
    present[2].processorShare = 0.5;
    present[2].isCoordinator = true;
    choice.update(present);
    cr_assert_eq(*choice.relayOf(domain), core::HostId("h0"));
}

// Guards against daemons of a small domain that depend on each other to save a call or two, and
// against a relay that is left over when its domain shrinks.
Test(relaychoice, smallDomainsHaveNone)
{
    RelayChoice choice;
    choice.update(daemons(RelayChoice::leastDaemons - 1));
    cr_assert_null(choice.relayOf(domain));
    choice.update(daemons(RelayChoice::leastDaemons));
    cr_assert_not_null(choice.relayOf(domain));
    choice.update(daemons(RelayChoice::leastDaemons - 1));
    cr_assert_null(choice.relayOf(domain));
}
