#include "core/text.h"
#include "gateway/requesttask.h"
#include "gateway/sendlimits.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jackdawlead::gateway {

namespace {

// A call that began before the request waited, and one of its own, take 120 ms between regions, and
// the pause between calls is added. Requests with a target of 200 ms were refused before the answer
// when the wait ended at a part of the target: a late answer is worth more than a refusal.
constexpr core::Duration maxQuotaWait = std::chrono::milliseconds(600);
constexpr double deadlineWaitFraction = 0.5;
constexpr std::string_view exhaustedCause = "the customer's quota is used up";
constexpr std::string_view unknownCause = "the customer's quota is not known to allow it";

} // namespace

bool RequestTask::isQuotaUsedUp()
{
    const fleet::Customer *customer = m_admission->customer();
    if (customer == nullptr)
        return false;
    m_admission->beginCharge(m_context.customers);
    customers::RequestCharge *charge = m_admission->charge();
    if (charge == nullptr || !charge->isExhausted())
        return false;
    refuseForQuota(*charge);
    return true;
}

bool RequestTask::tryCharge()
{
    using Verdict = customers::RequestCharge::Verdict;
    if (m_sends > 0)
        return true;
    if (customers::RequestCharge *charge = m_admission->charge()) {
        const core::Duration maxWaitByDeadline
            = core::scaled(deadline() - m_exchange->receivedAt, deadlineWaitFraction);
        const Verdict verdict = charge->tryCharge(std::min(maxQuotaWait, maxWaitByDeadline), now());
        m_isWaiting = verdict == Verdict::Wait;
        if (m_isWaiting)
            setWaitsForLoad(false);
        else if (verdict == Verdict::Exhausted)
            refuseForQuota(*charge);
        else if (verdict == Verdict::Unavailable)
            refuse(unknownCause, charge->retryAfter(),
                   absl::StrCat(charge->describe(), ", ", describeConfiguration()));
        if (verdict != Verdict::Granted)
            return false;
    }
    if (const fleet::Customer *customer = m_admission->customer())
        m_context.metrics.recordCustomerResult(customer->name.value(), "served");
    return true;
}

void RequestTask::refuseForQuota(const customers::RequestCharge &charge)
{
    observability::log({.level = observability::LogLevel::Info,
                        .step = "refuse",
                        .message = absl::StrCat(
                            "status 429, ", core::toAbsl(exhaustedCause), ", ", charge.describe(),
                            ", retry after ", core::toMilliseconds(charge.retryAfter()),
                            " ms, held ", core::toMilliseconds(now() - m_exchange->receivedAt),
                            " ms, ", describeConfiguration()),
                        .request = m_fields.id.value()});
    constexpr int tooManyRequests = 429;
    // Spread already, so that callers do not return together.
    m_exchange->respond(tooManyRequests, platform::retryAfterFields(charge.retryAfter()), {});
    m_context.metrics.recordRefusal(std::string(exhaustedCause));
    m_context.metrics.recordCustomerResult(m_admission->customer()->name.value(), "refused");
    m_status = tooManyRequests;
    finish();
}

void RequestTask::refundCharge()
{
    customers::RequestCharge *charge = m_admission ? m_admission->charge() : nullptr;
    if (charge != nullptr && m_runs == 0 && !attempt().isInProgress)
        charge->refund();
}

} // namespace jackdawlead::gateway
