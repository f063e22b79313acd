#include "gateway/customers/customerquotas.h"

namespace jackdawlead::gateway::customers {

std::map<core::CustomerId, fleet::Quota> quotasOf(const fleet::Configuration &configuration)
{
    std::map<core::CustomerId, fleet::Quota> quotas;
    if (!configuration.customers)
        return quotas;
    for (const fleet::Customer &customer : *configuration.customers) {
        if (customer.quota)
            quotas[customer.name] = *customer.quota;
    }
    return quotas;
}

decisions::quota::QuotaTolerance toleranceOf(const fleet::Bounds &bounds)
{
    return {bounds.quotaWindow, bounds.quotaOverage, bounds.quotaSlack};
}

} // namespace jackdawlead::gateway::customers
