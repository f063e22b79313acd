#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "fleet/customer.h"
#include "fleet/endpoint.h"

#include <cstdint>
#include <map>
#include <optional>

namespace jackdawlead::decisions::quota {

/// By how much the use of all daemons may exceed a quota in a window.
struct QuotaTolerance
{
    core::Duration window = std::chrono::seconds(8);
    double overage = 0; ///< Fraction of what the quota allows in a window.
    double slack = 0;   ///< Tokens in addition.
};

/// What one daemon states about one customer. The totals count since the daemon first received an
/// answer of the present coordinator, so that a lost report changes nothing.
struct QuotaUse
{
    double spentTotal = 0;      ///< Tokens of allowances that were spent.
    double returnedTotal = 0;   ///< Tokens of allowances that the daemon gave up unspent.
    double refundedTotal = 0;   ///< Spent tokens of requests that certainly did not run.
    double held = 0;            ///< Tokens of allowances that it holds now.
    double waiting = 0;         ///< Tokens of requests that wait for an allowance.
    double smallestWaiting = 0; ///< The smallest of these requests; zero if none waits.
    double demandPerSecond = 0; ///< Tokens that were asked for lately, also by refused requests.
    double wanted = 0;          ///< Tokens that it expects to need in advance besides `held`.
    double meanCost = 0;        ///< Of its requests; zero if it is unknown.

    bool operator==(const QuotaUse &) const = default;
};

/// A daemon's report to the coordinator about quotas.
struct QuotaReport
{
    fleet::StartTime incarnation {}; ///< Start of the daemon's process; differs after a restart.
    core::FencingToken token;        ///< Of the coordinator to which the totals belong.
    std::uint64_t lastAnswer = 0;    ///< Number of the last answer received from it; zero if none.
    double share = 0;                ///< Fraction of each quota that it uses without a coordinator.
    std::map<core::CustomerId, QuotaUse> uses;

    bool operator==(const QuotaReport &) const = default;
};

/// What the coordinator tells a daemon about one customer.
struct QuotaGrant
{
    double tokens = 0;        ///< A further allowance.
    bool isExhausted = false; ///< The quota is used up; requests are refused until the next answer.
    core::Duration fillTime {}; ///< Until the bucket holds what the daemon asked for.

    bool operator==(const QuotaGrant &) const = default;
};

/// The coordinator's answer to a QuotaReport.
struct QuotaAnswer
{
    core::FencingToken token;
    std::uint64_t number = 0; ///< Rises with each answer to the daemon; above zero.
    double share = 0;         ///< Replaces the daemon's share.
    /// Customers without an entry are not known to the coordinator or have no quota there.
    std::map<core::CustomerId, QuotaGrant> grants;

    bool operator==(const QuotaAnswer &) const = default;
};

/// How long a daemon may spend an allowance, from when it sent the report that asked for it.
inline constexpr core::Duration allowanceLifetime = std::chrono::milliseconds(1500);
/// Without an answer for this long a daemon uses its share: three of the slowest reports.
inline constexpr core::Duration contactTimeout = std::chrono::milliseconds(2250);
/// How long a daemon may use its share after the last answer.
inline constexpr core::Duration shareLifetime = std::chrono::seconds(60);
/// An answer that says that a quota is used up counts for this long.
inline constexpr core::Duration exhaustionLifetime = std::chrono::milliseconds(500);

} // namespace jackdawlead::decisions::quota
