#include "decisions/leavingendpoints.h"

#include <criterion/criterion.h>

#include <string>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;

const core::EndpointId endpoint {"i-1"};

} // namespace

// Guards against an endpoint that started again under its id and is never used again.
Test(leavingendpoints, laterLifeDoesNotLeave)
{
    LeavingEndpoints marks;
    cr_assert(marks.add(endpoint, milliseconds(10)));
    cr_assert_not(marks.add(endpoint, milliseconds(10)));
    cr_assert(marks.contains(endpoint, milliseconds(10)));
    cr_assert_not(marks.contains(endpoint, milliseconds(11)));
    cr_assert(marks.add(endpoint, milliseconds(11)));
    cr_assert(marks.contains(endpoint, milliseconds(11)));
    // Late news of the earlier life takes nothing back.
    cr_assert_not(marks.add(endpoint, milliseconds(10)));
    cr_assert(marks.contains(endpoint, milliseconds(11)));
}

// Guards against memory that grows with every endpoint that ever left.
Test(leavingendpoints, marksAreBounded)
{
    LeavingEndpoints marks;
    for (std::size_t number = 0; number <= LeavingEndpoints::maxEntries; ++number)
        marks.add(core::EndpointId("i-" + std::to_string(number)), milliseconds(1));
    cr_assert_not(marks.contains(core::EndpointId("i-0"), milliseconds(1)));
    cr_assert(marks.contains(core::EndpointId("i-1"), milliseconds(1)));
}
