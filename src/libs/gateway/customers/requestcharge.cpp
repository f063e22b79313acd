#include "gateway/customers/requestcharge.h"

#include <absl/strings/str_cat.h>

#include <cmath>
#include <utility>

namespace jackdawlead::gateway::customers {

using Spending = decisions::quota::QuotaAllowance::Verdict;

RequestCharge::RequestCharge(CustomerLimits &limits, core::CustomerId customer, double tokens)
    : m_limits(limits)
    , m_customer(std::move(customer))
    , m_tokens(tokens)
{ }

RequestCharge::~RequestCharge()
{
    setWaiting(false);
}

// The attempt to spend counts the request as demand of the customer, which decides on this daemon's
// part of the refill.
bool RequestCharge::isExhausted()
{
    if (m_isCharged || !m_limits.isExhausted(m_customer, m_tokens))
        return false;
    m_last = m_limits.trySpend(m_customer, m_tokens, !std::exchange(m_isCounted, true));
    m_isCharged = m_last.verdict == Spending::Granted;
    if (m_last.verdict != Spending::Exhausted)
        return false;
    m_limits.recordRefusal(m_customer, m_tokens);
    return true;
}

RequestCharge::Verdict RequestCharge::tryCharge(core::Duration maxWait, core::TimePoint now)
{
    if (m_isCharged)
        return Verdict::Granted;
    if (!m_triedAt)
        m_triedAt = now;
    m_last = m_limits.trySpend(m_customer, m_tokens, !std::exchange(m_isCounted, true));
    const bool isWaitOver = now - *m_triedAt >= maxWait;
    setWaiting(m_last.verdict == Spending::Wait && !isWaitOver);
    switch (m_last.verdict) {
    case Spending::Granted:
        m_isCharged = true;
        return Verdict::Granted;
    case Spending::Wait:
        return isWaitOver ? Verdict::Unavailable : Verdict::Wait;
    case Spending::Exhausted:
        m_limits.recordRefusal(m_customer, m_tokens);
        return Verdict::Exhausted;
    case Spending::Unavailable:
        break;
    }
    return Verdict::Unavailable;
}

void RequestCharge::refund()
{
    if (std::exchange(m_isCharged, false))
        m_limits.refund(m_customer, m_tokens);
}

std::string RequestCharge::describe() const
{
    return absl::StrCat("customer ", m_customer.value(), ", cost ", m_tokens, ", allowance ",
                        std::lround(m_last.held), ", last answer of the coordinator ",
                        core::toMilliseconds(m_last.answerAge), " ms ago");
}

void RequestCharge::setWaiting(bool isWaiting)
{
    if (std::exchange(m_isWaiting, isWaiting) == isWaiting)
        return;
    if (isWaiting)
        m_limits.addWaiting(m_customer, m_tokens);
    else
        m_limits.removeWaiting(m_customer, m_tokens);
}

} // namespace jackdawlead::gateway::customers
