#pragma once

#include "decisions/quota/quotatypes.h"
#include "fleet/customer.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace jackdawlead::testsupport {

inline constexpr core::TimePoint simulationStart {std::chrono::seconds(100)};

/// What happens to daemons or to the coordinator in a simulation.
struct QuotaFault
{
    enum class Kind {
        Freeze,          ///< The daemons' processes stand still.
        Cut,             ///< Nothing passes between the daemons and the coordinator.
        CutReports,      ///< Only the daemons' reports are lost.
        CutAnswers,      ///< Only the coordinator's answers are lost.
        LoseCoordinator, ///< `length` passes until there is a new one.
        KillAll,         ///< All daemons restart; there is a new coordinator after `length`.
        RefuseRequests,  ///< Requests that are sent do not run, which is known up to 5 s later.
    };
    Kind kind = Kind::Freeze;
    core::Duration at {}; ///< Since the start.
    core::Duration length {};
    std::vector<int> daemons;
};

/// Demand from a time on, as a multiple of the rate.
struct QuotaLoad
{
    core::Duration from {};
    double factor = 1;
};

/// Daemons that serve one customer with a quota, in virtual time.
struct QuotaScenario
{
    int daemons = 65;
    fleet::Quota quota {62878, 62878};
    decisions::quota::QuotaTolerance tolerance {std::chrono::seconds(8), 0.1, 17000};
    std::vector<QuotaLoad> loads {{{}, 1}};
    double skew = 1;          ///< Standard deviation of the logarithm of a daemon's demand.
    double farDaemons = 0.33; ///< Part of the daemons that is in the other region.
    double loss = 0;          ///< Probability that a report or an answer is lost.
    double notRun = 0;        ///< Probability that a request does not run.
    std::vector<QuotaFault> faults;
    core::Duration loweredAt = core::Duration::max(); ///< Acknowledged by the store.
    fleet::Quota lowered;
    core::Duration maxWait = std::chrono::milliseconds(600);
    core::Duration length = std::chrono::seconds(60);
    core::Duration warmUp = std::chrono::seconds(8); ///< Left out of the shares, not of the bound.
    std::uint64_t seed = 1;

    double bound(const fleet::Quota &limit) const
    {
        const double allowed
            = limit.tokensPerSecond * core::toSeconds(tolerance.window) + limit.burst;
        return allowed * (1 + tolerance.overage) + tolerance.slack;
    }
};

struct QuotaResult
{
    double worstWindow = 0; ///< Largest part of the bound that the requests of a window cost.
    double worstTokens = 0; ///< Tokens in that window.
    double worstFrom = 0;   ///< Its begin, in seconds since the start.
    double worstHeld = 0;   ///< Largest part of the capacity in the bucket and at daemons together.
    double servedOfLimit = 0;  ///< Tokens served, as a part of rate * time.
    double servedOfDemand = 0; ///< As a part of the tokens asked for.
    double waited = 0;         ///< Part of the served requests that waited for an answer.
    double meanWaitMs = 0;     ///< Of all served requests.
    double exhausted = 0;      ///< Part of the requests answered with 429.
    double unavailable = 0;    ///< Part of the requests answered with 503.
    double reportsPerSecond = 0;
    double callsPerSecond = 0; ///< Immediate calls to the coordinator, besides regular reports.
    double unfairness = 0;     ///< Deviation of the daemons' served parts, weighted by demand.
    double last429 = 0;        ///< Seconds since the start.
};

/// A scenario with all that may go wrong, drawn from a seed.
QuotaScenario drawQuotaScenario(std::uint64_t seed);

} // namespace jackdawlead::testsupport
