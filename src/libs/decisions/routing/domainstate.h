#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/endpointchooser.h"

#include <optional>

namespace jackdawlead::decisions::routing {

/// The endpoints of one failure domain that could take a request now, as a daemon knows them.
/// Thread safety: a value type.
struct DomainState
{
    core::FailureDomainId domain;
    Distance distance = Distance::SameDomain;
    double slots = 0;   ///< Of these endpoints together.
    double load = 0;    ///< Slots that all daemons' known requests occupy.
    double ownLoad = 0; ///< Of them, those of this daemon's requests; always up to date.

    double utilization() const { return slots > 0 ? load / slots : 0; }
};

/// The request for which a domain is chosen.
struct OverflowRequest
{
    core::ServiceId service;
    core::Duration target {}; ///< From arrival to the first event; zero if the route states none.
    core::Duration waited {}; ///< Since the arrival.
    /// Age of the other daemons' loads; empty if they are not known.
    std::optional<core::Duration> age;
    double domainDaemons = 1; ///< Daemons of this domain; the mean of all domains if unknown.
    /// Slots of all endpoints of the service in this domain, whatever adapters they hold.
    double homeSlots = 0;
};

/// Why a request leaves its domain.
enum class OverflowReason {
    None,     ///< It does not leave.
    Shortage, ///< The predicted wait in its domain is too long.
    NoCopy,   ///< No endpoint of its domain that takes requests holds its adapter.
};

/// The domain that a request should use, and the predictions behind the choice.
struct OverflowDecision
{
    OverflowReason reason = OverflowReason::None;
    Distance distance = Distance::SameDomain;
    /// Empty if any domain at the distance will do.
    std::optional<core::FailureDomainId> domain;
    core::Duration homeFirstEvent {}; ///< Predicted; zero without an endpoint in the domain.
    core::Duration firstEvent {};     ///< Predicted in the chosen domain.
    double leavingShare = 0;          ///< Of the requests like this one.
    /// No farther domain is worth its traffic, so the request rather waits than goes there.
    bool excludesFarther = false;
};

} // namespace jackdawlead::decisions::routing
