#include "decisions/endpointpaths.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;

constexpr core::TimePoint start {std::chrono::seconds(100)};
const core::EndpointId first {"e1"};
const core::EndpointId second {"e2"};
const core::EndpointId third {"e3"};

} // namespace

// Guards against a daemon that uses other daemons for endpoints that it reaches itself, because its
// path to one of them is interrupted.
Test(endpointpaths, onePathIsNoCut)
{
    EndpointPaths paths;
    paths.recordReachedByPeer(first, start, start + milliseconds(5));
    cr_assert(paths.isInterrupted(first));
    cr_assert_not(paths.isInterrupted(second));
    cr_assert_not(paths.isCutOff());
}

// Guards against requests that find each interrupted path on their own, while nothing arrives from
// any endpoint.
Test(endpointpaths, severalPathsWithoutContactAreACut)
{
    EndpointPaths paths;
    paths.recordActivity(start);
    paths.recordReachedByPeer(first, start + milliseconds(1), start + milliseconds(5));
    paths.recordReachedByPeer(second, start + milliseconds(2), start + milliseconds(6));
    cr_assert(paths.isCutOff());
    cr_assert(paths.isInterrupted(third));
}

// Guards against taking the failure of new connections for a cut while open ones bring answers.
Test(endpointpaths, contactMeanwhileIsNoCut)
{
    EndpointPaths paths;
    paths.recordReachedByPeer(first, start, start + milliseconds(5));
    paths.recordActivity(start + milliseconds(10));
    paths.recordReachedByPeer(second, start + milliseconds(20), start + milliseconds(25));
    cr_assert_not(paths.isCutOff());
    cr_assert(paths.isInterrupted(first));
    cr_assert(paths.isInterrupted(second));
}

// Guards against a daemon that goes on to use other daemons after its links are back.
Test(endpointpaths, openedConnectionEndsTheCut)
{
    EndpointPaths paths;
    paths.recordReachedByPeer(first, start, start);
    paths.recordReachedByPeer(second, start, start);
    paths.recordAnswered(third, start + milliseconds(100));
    cr_assert_not(paths.isCutOff());
    cr_assert(paths.isInterrupted(first), "its own path has not worked yet");
    paths.recordAnswered(first, start + milliseconds(110));
    paths.recordAnswered(second, start + milliseconds(120));
    cr_assert_not(paths.hasInterrupted());
}

// Guards against an endpoint that failed itself and is looked for through other daemons.
Test(endpointpaths, endpointThatNobodyReachesIsNotInterrupted)
{
    EndpointPaths paths;
    paths.recordReachedByPeer(first, start, start);
    paths.recordUnreachable(first);
    cr_assert_not(paths.isInterrupted(first));
}

// Guards against trials that repeat one endpoint while the paths to others work again.
Test(endpointpaths, leastRecentlyTriedPathIsNext)
{
    EndpointPaths paths;
    paths.recordReachedByPeer(first, start, start);
    paths.recordReachedByPeer(third, start, start + milliseconds(1));
    const std::map<core::EndpointId, core::TimePoint> tried {
        {first, start + milliseconds(3)}, {second, start}, {third, start + milliseconds(2)}};
    cr_assert(paths.isCutOff());
    cr_assert_eq(*paths.nextTrial(tried), second);
    paths.recordAnswered(second, start + milliseconds(4));
    cr_assert_eq(*paths.nextTrial(tried), third);
}
