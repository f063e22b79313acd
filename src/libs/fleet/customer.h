#pragma once

#include "core/ids.h"
#include "core/keydigest.h"

#include <optional>
#include <vector>

namespace jackdawlead::fleet {

/// The limit on the use of all daemons by one customer together, as a token bucket.
struct Quota
{
    double tokensPerSecond = 0; ///< Greater than zero.
    double burst = 0;           ///< Tokens that may be used at once in addition.

    bool operator==(const Quota &) const = default;
};

/// What one request counts toward the quota.
enum class QuotaUnit { Requests, Tokens };

/// One customer of a configuration. Keys are held as digests only.
struct Customer
{
    core::CustomerId name;
    std::vector<core::KeyDigest> keys;
    std::optional<int> priority; ///< 0 is the most urgent; replaces that of the route.
    QuotaUnit unit = QuotaUnit::Requests;
    double defaultCost = 1;     ///< Of a request that states no number of tokens.
    std::optional<Quota> quota; ///< Empty if the use is not limited.
};

} // namespace jackdawlead::fleet
