#include "decisions/versionfloor.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;

const VersionLimits limits {milliseconds(2250), milliseconds(4500), milliseconds(4900)};

core::TimePoint at(int time)
{
    return core::TimePoint(std::chrono::seconds(100) + milliseconds(time));
}

} // namespace

// Guards against the announcement of a version that lifts the requirement of the one before: two
// announcements six seconds apart let endpoints with the oldest of three versions serve again.
Test(versionfloor, laterAnnouncementKeepsTheEarlierRequirement)
{
    VersionFloor floor;
    cr_assert(floor.announce(2, at(0), at(0), limits));
    cr_assert_eq(floor.lowestAllowed(at(2000)), 0);
    cr_assert_eq(floor.lowestAllowed(at(2250)), 2);
    cr_assert(floor.announce(3, at(6000), at(6000), limits));
    cr_assert_eq(floor.lowestAllowed(at(6000)), 2);
    cr_assert_eq(floor.lowestAllowed(at(8249)), 2);
    cr_assert_eq(floor.lowestAllowed(at(8250)), 3);
}

// Guards against an adapter that is never required at any version because it is announced more
// often than its grace lasts.
Test(versionfloor, frequentAnnouncementsEndEachGrace)
{
    VersionFloor floor;
    for (int version = 1; version <= 20; ++version)
        cr_assert(floor.announce(version, at(version * 1000), at(version * 1000), limits));
    cr_assert_eq(floor.newest(), 20);
    cr_assert_eq(floor.lowestAllowed(at(20000)), 17);
}

// Guards against a request that is taken from its queue as soon as it was sent: a daemon that
// learned of a version late went on sending to the older one until no request might wait there any
// more, and answered 502 for work that must not repeat.
Test(versionfloor, lateAnnouncementLeavesTimeForTheQueue)
{
    constexpr core::Duration bound = milliseconds(5000);
    constexpr core::Duration minQueueTime = milliseconds(1000);
    const VersionLimits allowed = versionLimits(bound);
    cr_assert_lt(allowed.queueBound, bound);
    for (int learnedAt = 0; learnedAt <= 3200; learnedAt += 100) {
        VersionFloor floor;
        floor.announce(2, at(learnedAt), at(0), allowed);
        const core::TimePoint lastSentAt = floor.newestRequiredAt() - milliseconds(1);
        cr_expect_eq(floor.lowestAllowed(lastSentAt), 0);
        cr_expect_geq(core::toMilliseconds(at(0) + allowed.queueBound - lastSentAt),
                      core::toMilliseconds(minQueueTime), "learned after %d ms", learnedAt);
    }
}

// Guards against a daemon that starts, or was without contact for long, and grants versions that
// were superseded meanwhile a further grace.
Test(versionfloor, announcementsOfUnknownAgeAreRequiredInTime)
{
    VersionFloor started;
    cr_assert(started.announce(4, at(0), core::TimePoint(), limits));
    cr_assert_eq(started.lowestAllowed(at(0)), 4);
    VersionFloor awake;
    cr_assert(awake.announce(4, at(9000), at(6000), limits));
    cr_assert_eq(awake.lowestAllowed(at(10499)), 0);
    cr_assert_eq(awake.lowestAllowed(at(10500)), 4);
}

// Guards against an older version that is announced again, and so becomes the lowest allowed one.
Test(versionfloor, olderVersionsChangeNothing)
{
    VersionFloor floor;
    cr_assert(floor.announce(5, at(0), at(0), limits));
    cr_assert_not(floor.announce(5, at(3000), at(3000), limits));
    cr_assert_not(floor.announce(3, at(3000), at(3000), limits));
    cr_assert_eq(floor.lowestAllowed(at(3000)), 5);
}

// Guards against any sequence of announcements, delays and starts after which an older version is
// allowed past its bound, or a version is required before any grace.
Test(versionfloor, floorOnlyRisesAndKeepsTheBound)
{
    const unsigned seed = 20261205;
    std::minstd_rand random(seed);
    for (int run = 0; run < 2000; ++run) {
        VersionFloor floor;
        std::vector<std::pair<int, int>> announced; ///< Version and time.
        int now = 0;
        int confirmed = -1000000;
        int lowest = 0;
        std::size_t learned = 0;
        for (int step = 0; step < 60; ++step) {
            now += static_cast<int>(random() % 1500);
            if (random() % 3 == 0)
                announced.emplace_back(static_cast<int>(announced.size()) + 1, now);
            const bool isInContact = random() % 4 != 0;
            for (; isInContact && learned < announced.size(); ++learned)
                floor.announce(announced[learned].first, at(now), at(confirmed), limits);
            if (isInContact)
                confirmed = now;
            const int allowed = floor.lowestAllowed(at(now));
            cr_assert_geq(allowed, lowest, "seed %u, run %d", seed, run);
            lowest = allowed;
            for (std::size_t index = 0; index < learned; ++index)
                cr_assert(allowed >= announced[index].first
                              || at(now) - at(announced[index].second) < milliseconds(5000)
                              || now - confirmed > 0,
                          "seed %u, run %d: version %d", seed, run, announced[index].first);
        }
    }
}
