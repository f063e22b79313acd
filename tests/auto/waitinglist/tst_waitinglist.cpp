#include "decisions/waitinglist.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;

const core::TimePoint now {std::chrono::seconds(100)};
const fleet::AdapterKey key {core::ModelId("m"), core::AdapterId("a1")};

} // namespace

// Guards against loads in the order of arrival while requests wait longer than their target
// latency: each of them is then answered late, and none in time.
Test(waitinglist, requestsInTimeAndLateAreCountedSeparately)
{
    WaitingList list;
    list.add(key, now - milliseconds(1));
    list.add(key, now + milliseconds(100));
    list.add(key, now + milliseconds(300));
    const WaitingCount count = list.counts(now).at(key);
    cr_assert_eq(count, (WaitingCount {2, 1, now + milliseconds(300)}));
    cr_assert_eq(count.at(now + milliseconds(300)), count);
    cr_assert_eq(count.at(now + milliseconds(301)).inTime, 0);
    cr_assert_eq(count.at(now + milliseconds(301)).late, 3);
}

// Guards against a request that is still counted after it was served or refused, because loads
// would be ordered for it without end.
Test(waitinglist, removedRequestIsNotCounted)
{
    WaitingList list;
    list.add(key, now);
    list.add(key, now);
    list.remove(key, now);
    cr_assert(list.contains(key));
    cr_assert_eq(list.counts(now).at(key).inTime, 1);
    list.remove(key, now);
    cr_assert_not(list.contains(key));
    cr_assert(list.counts(now).empty());
}

// Guards against a sum over daemons that loses the deadline of one of them.
Test(waitinglist, sumOverDaemonsKeepsLatestDeadline)
{
    WaitingCount sum {1, 0, now + milliseconds(50)};
    sum.add({2, 3, now + milliseconds(20)});
    cr_assert_eq(sum, (WaitingCount {3, 3, now + milliseconds(50)}));
}
