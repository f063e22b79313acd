#pragma once

#include "gateway/customers/customerlimits.h"

#include <optional>
#include <string>

namespace jackdawlead::gateway::customers {

/// What one request costs its customer: waits for an allowance, spends it once before the first
/// send, and gives it back if the request certainly did not run. Thread safety: the event loop's
/// thread only.
class RequestCharge
{
public:
    enum class Verdict {
        Granted,     ///< The tokens are spent, or the customer is not limited.
        Wait,        ///< To be tried again; the coordinator was asked.
        Exhausted,   ///< The quota is used up.
        Unavailable, ///< It is unknown whether the quota allows the request.
    };

    RequestCharge(CustomerLimits &limits, core::CustomerId customer, double tokens);
    ~RequestCharge();
    RequestCharge(const RequestCharge &) = delete;
    RequestCharge &operator=(const RequestCharge &) = delete;

    /// Whether the request is to be refused before anything else is done for it, because the quota
    /// is known to be used up.
    bool isExhausted();
    /// Spends the tokens, at the first success only. A request waits at most `maxWait` from its
    /// first call.
    Verdict tryCharge(core::Duration maxWait, core::TimePoint now);
    /// The request no longer waits for an allowance.
    void endWaiting() { setWaiting(false); }
    /// Gives the tokens back if they were spent. Precondition: the request did not run.
    void refund();
    /// For a refusal.
    core::Duration retryAfter() const { return m_last.retryAfter; }
    /// The figures of the last decision, as text for the log.
    std::string describe() const;

private:
    void setWaiting(bool isWaiting);

    CustomerLimits &m_limits;
    core::CustomerId m_customer;
    double m_tokens;
    bool m_isCounted = false; ///< As demand.
    bool m_isCharged = false;
    bool m_isWaiting = false; ///< Is counted in the limits.
    std::optional<core::TimePoint> m_triedAt;
    CustomerLimits::Decision m_last;
};

} // namespace jackdawlead::gateway::customers
