#pragma once

#include "core/keydigest.h"
#include "decisions/routetable.h"
#include "gateway/customers/requestcharge.h"
#include "http/messageparser.h"
#include "platform/endpointcodec.h"

#include <memory>
#include <optional>
#include <string_view>

namespace jackdawlead::gateway::customers {

/// Decides whether a client's request is served: its key must belong to a customer if the
/// configuration lists customers and the route is not anonymous, and the customer's quota must
/// allow it. Owns the request's charge. Thread safety: the event loop's thread only.
class RequestAdmission
{
public:
    enum class Verdict {
        Granted,
        /// The key is missing, repeated, empty, or belongs to no customer of the configuration.
        InvalidKey,
    };

    /// Checks the key of the request against `routes`, the configuration in force. May be called
    /// again with a newer configuration. Precondition: `route` belongs to `routes`.
    Verdict checkKey(const http::MessageHead &head, const platform::RequestFields &fields,
                     std::shared_ptr<const decisions::RouteTable> routes,
                     const fleet::Route &route);
    /// Why the last check found the key invalid, without the key itself.
    std::string_view invalidityCause() const { return m_invalidityCause; }

    /// The customer that holds the key; nullptr if the request needs none. Valid as long as this
    /// object, until the next check.
    const fleet::Customer *customer() const { return m_customer; }
    /// What the request counts toward the customer's quota, in the quota's unit; zero without a
    /// customer.
    double cost() const { return m_cost; }
    /// Begins the charge of the request, if its customer is limited. Precondition: the key was
    /// checked and found valid.
    void beginCharge(CustomerLimits &limits);
    /// nullptr if there is none.
    RequestCharge *charge() { return m_charge ? &*m_charge : nullptr; }
    /// Sets what the endpoint is told about the customer. `inForce` is the present configuration;
    /// it may list customers although that of the last check did not.
    void addTo(platform::ForwardFields &forward, const decisions::RouteTable &inForce) const;

private:
    const fleet::Customer *findCustomer(const http::MessageHead &head);

    std::shared_ptr<const decisions::RouteTable> m_routes; ///< Keeps m_customer valid.
    std::optional<core::KeyDigest> m_digest;               ///< Computed at the first check.
    const fleet::Customer *m_customer = nullptr;
    std::optional<int> m_priority;
    double m_cost = 0;
    std::string_view m_invalidityCause;
    std::optional<RequestCharge> m_charge;
};

} // namespace jackdawlead::gateway::customers
