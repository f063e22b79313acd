#include "decisions/leavingendpoints.h"

#include <criterion/criterion.h>

#include <string>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;

const core::EndpointId endpoint {"i-1"};

} // namespace

// Guards against an endpoint that restarted under its id and is never used again.
Test(leavingendpoints, laterIncarnationIsNotLeaving)
{
    LeavingEndpoints leavingEndpoints;
    cr_assert(leavingEndpoints.add(endpoint, milliseconds(10)));
    cr_assert_not(leavingEndpoints.add(endpoint, milliseconds(10)));
    cr_assert(leavingEndpoints.contains(endpoint, milliseconds(10)));
    cr_assert_not(leavingEndpoints.contains(endpoint, milliseconds(11)));
    cr_assert(leavingEndpoints.add(endpoint, milliseconds(11)));
    cr_assert(leavingEndpoints.contains(endpoint, milliseconds(11)));
    // A late announcement of the earlier incarnation has no effect.
    cr_assert_not(leavingEndpoints.add(endpoint, milliseconds(10)));
    cr_assert(leavingEndpoints.contains(endpoint, milliseconds(11)));
}

// Guards against memory use that grows with every endpoint that ever left.
Test(leavingendpoints, entriesAreBounded)
{
    LeavingEndpoints leavingEndpoints;
    for (std::size_t number = 0; number <= LeavingEndpoints::maxEntries; ++number)
        leavingEndpoints.add(core::EndpointId("i-" + std::to_string(number)), milliseconds(1));
    cr_assert_not(leavingEndpoints.contains(core::EndpointId("i-0"), milliseconds(1)));
    cr_assert(leavingEndpoints.contains(core::EndpointId("i-1"), milliseconds(1)));
}
