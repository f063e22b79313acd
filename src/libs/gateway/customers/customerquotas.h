#pragma once

#include "core/ids.h"
#include "decisions/quota/quotatypes.h"
#include "fleet/configuration.h"
#include "fleet/hostsettings.h"

#include <map>

namespace jackdawlead::gateway::customers {

/// The quotas of a configuration; customers without a limit are left out. Thread safety: any
/// thread.
std::map<core::CustomerId, fleet::Quota> quotasOf(const fleet::Configuration &configuration);

/// The tolerance that the platform states. Thread safety: any thread.
decisions::quota::QuotaTolerance toleranceOf(const fleet::Bounds &bounds);

} // namespace jackdawlead::gateway::customers
