#include "decisions/endpointchooser.h"
#include "decisions/refusallimits.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;

constexpr core::TimePoint start {std::chrono::seconds(100)};
const core::ServiceId service {"orders"};
const core::ServiceId other {"drafts"};

} // namespace

// Guards against a limit that is known for one endpoint only, so that the others of the service
// crash before this daemon has an answer of theirs.
Test(refusallimits, statementHoldsForTheService)
{
    RefusalLimits limits;
    limits.recordAnswer(service, fleet::RequestRate {4}, start);
    cr_assert(limits.limitOf(service, start) == fleet::RequestRate {4});
    cr_assert_not(limits.limitOf(other, start).has_value());
    cr_assert_not(limits.limitOf(service, start + RefusalLimits::validity + milliseconds(1)));
}

// Guards against a limit that one late answer lifts, or that stays when the endpoints no longer
// state it.
Test(refusallimits, severalAnswersWithoutItEndTheStatement)
{
    RefusalLimits limits;
    limits.recordAnswer(service, fleet::RequestRate {4}, start);
    limits.recordAnswer(service, std::nullopt, start);
    cr_assert(limits.limitOf(service, start));
    for (int answer = 0; answer < 10; ++answer)
        limits.recordAnswer(service, std::nullopt, start);
    cr_assert_not(limits.limitOf(service, start));
}

// Guards against daemons that each stay below the limit and exceed it together.
Test(refusallimits, pausesKeepTheSumBelowTheLimit)
{
    RefusalLimits limits;
    constexpr int daemons = 8;
    cr_assert_eq(limits.refusalInterval(service, daemons, start).count(), 0);
    limits.recordAnswer(service, fleet::RequestRate {8}, start);
    const double pause = core::toSeconds(limits.refusalInterval(service, daemons, start));
    cr_assert_leq(daemons / pause, 8.0);
    limits.recordAnswer(service, fleet::RequestRate {0}, start);
    cr_assert_eq(limits.refusalInterval(service, daemons, start).count(),
                 core::Duration(RefusalLimits::maxInterval).count());
}

// Guards against a queue at an endpoint that crashes when it has to refuse.
Test(refusallimits, fullEndpointGetsNoQueue)
{
    EndpointOption option;
    option.endpoint = core::EndpointId("e1");
    option.slots = 4;
    option.load = 4;
    cr_assert(chooseEndpoint({option}, 0).endpoint.has_value());
    option.mustNotRefuse = true;
    cr_assert_not(chooseEndpoint({option}, 0).endpoint.has_value());
    option.load = 3;
    cr_assert(chooseEndpoint({option}, 0).endpoint.has_value());
}

// Guards against a daemon that fills an endpoint at once after a refusal, or after it was idle,
// although other daemons have taken the slots meanwhile: all of these requests were refused.
Test(refusallimits, refusalLimitsTheRequestsInProgress)
{
    const core::EndpointId endpoint("e-1");
    constexpr core::Duration interval = std::chrono::seconds(1);
    RefusalLimits limits;
    cr_assert_not(limits.maxInProgress(endpoint, 0, interval, start).has_value());
    limits.recordRefusal(endpoint, 3, start);
    cr_assert_eq(limits.maxInProgress(endpoint, 0, interval, start), 3);
    limits.recordRefusal(endpoint, 0, start);
    cr_assert_eq(limits.maxInProgress(endpoint, 0, interval, start), 1, "one request finds out");
    limits.recordRefusal(endpoint, 3, start);
    limits.recordAcceptance(endpoint, 3, interval, start + milliseconds(500));
    cr_assert_eq(limits.maxInProgress(endpoint, 0, interval, start + milliseconds(500)), 3,
                 "it grows by one in each interval");
    limits.recordAcceptance(endpoint, 3, interval, start + interval);
    cr_assert_eq(limits.maxInProgress(endpoint, 0, interval, start + interval), 4);
    limits.recordAcceptance(endpoint, 1, interval, start + 2 * interval);
    limits.recordAcceptance(endpoint, 1, interval, start + 3 * interval);
    cr_assert_leq(limits.maxInProgress(endpoint, 0, interval, start + 3 * interval), 4,
                  "what was not used does not grow");
    cr_assert_eq(limits.maxInProgress(endpoint, 0, interval, start + 5 * interval), 1);
    limits.recordAcceptance(endpoint, 4, interval, start + 6 * interval);
    limits.recordRefusal(endpoint, 5, start + 7 * interval);
    cr_assert_eq(limits.maxInProgress(endpoint, 3, interval, start + 9 * interval), 4,
                 "long requests in progress keep their slots");
}
