#include "decisions/leavingmarks.h"

#include <criterion/criterion.h>

#include <string>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;

const core::EndpointId endpoint {"i-1"};

} // namespace

// Guards against an endpoint that started again under its id and is never used again.
Test(leavingmarks, laterLifeDoesNotLeave)
{
    LeavingMarks marks;
    cr_assert(marks.mark(endpoint, milliseconds(10)));
    cr_assert_not(marks.mark(endpoint, milliseconds(10)));
    cr_assert(marks.contains(endpoint, milliseconds(10)));
    cr_assert_not(marks.contains(endpoint, milliseconds(11)));
    cr_assert(marks.mark(endpoint, milliseconds(11)));
    cr_assert(marks.contains(endpoint, milliseconds(11)));
    // Late news of the earlier life takes nothing back.
    cr_assert_not(marks.mark(endpoint, milliseconds(10)));
    cr_assert(marks.contains(endpoint, milliseconds(11)));
}

// Guards against memory that grows with every endpoint that ever left.
Test(leavingmarks, marksAreBounded)
{
    LeavingMarks marks;
    for (std::size_t number = 0; number <= LeavingMarks::most; ++number)
        marks.mark(core::EndpointId("i-" + std::to_string(number)), milliseconds(1));
    cr_assert_not(marks.contains(core::EndpointId("i-0"), milliseconds(1)));
    cr_assert(marks.contains(core::EndpointId("i-1"), milliseconds(1)));
}
