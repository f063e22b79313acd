#include "gateway/customers/requestadmission.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway::customers {

namespace {

constexpr int lowestPriority = 9;

double costOf(const fleet::Customer &customer, const platform::RequestFields &fields)
{
    if (customer.unit == fleet::QuotaUnit::Requests)
        return 1;
    return fields.totalTokens.value_or(customer.defaultCost);
}

} // namespace

RequestAdmission::Verdict
RequestAdmission::checkKey(const http::MessageHead &head, const platform::RequestFields &fields,
                           std::shared_ptr<const decisions::RouteTable> routes,
                           const fleet::Route &route)
{
    m_routes = std::move(routes);
    m_customer = nullptr;
    m_priority.reset();
    m_cost = 0;
    if (!m_routes->configuration().customers || route.isAnonymous)
        return Verdict::Granted;
    m_customer = findCustomer(head);
    if (m_customer == nullptr)
        return Verdict::InvalidKey;
    m_priority = m_customer->priority ? m_customer->priority : route.priority;
    m_cost = costOf(*m_customer, fields);
    return Verdict::Granted;
}

const fleet::Customer *RequestAdmission::findCustomer(const http::MessageHead &head)
{
    const platform::KeyField field = platform::keyFieldOf(head);
    if (field.count != 1 || field.value.empty()) {
        m_invalidityCause = field.count == 0 ? "no key"
            : field.count == 1               ? "empty key"
                                             : "more than one key";
        return nullptr;
    }
    m_invalidityCause = "unknown key";
    // Without this the digest of a key as long as the headers may be would take 0.2 ms.
    if (field.value.size() > m_routes->configuration().longestKeyBytes)
        return nullptr;
    if (!m_digest)
        m_digest = core::KeyDigest::of(field.value);
    return m_routes->customerKeys().find(*m_digest);
}

void RequestAdmission::beginCharge(CustomerLimits &limits)
{
    if (m_customer != nullptr && !m_charge && limits.isLimited(m_customer->name))
        m_charge.emplace(limits, m_customer->name, std::max(0.0, m_cost));
}

void RequestAdmission::addTo(platform::ForwardFields &forward,
                             const decisions::RouteTable &inForce) const
{
    forward.dropsCustomerFields = m_routes->configuration().customers.has_value()
        || inForce.configuration().customers.has_value();
    if (m_customer == nullptr)
        return;
    forward.customer = m_customer->name;
    if (m_priority)
        forward.priority = std::clamp(*m_priority, 0, lowestPriority);
}

} // namespace jackdawlead::gateway::customers
