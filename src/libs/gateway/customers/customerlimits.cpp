#include "gateway/customers/customerlimits.h"

#include "gateway/customers/customerquotas.h"
#include "gateway/messageencoding.h"
#include "net/clocks.h"
#include "observability/log.h"
#include "rpc/rpccodec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawlead::gateway::customers {

namespace {

using decisions::quota::QuotaAllowance;
using decisions::quota::QuotaAnswer;
using decisions::quota::QuotaReport;

// Combines requests that begin to wait at nearly the same time.
constexpr core::Duration callDelay = std::chrono::milliseconds(5);
constexpr core::Duration callTimeout = std::chrono::milliseconds(500);
// A coordinator of an earlier release, or one that just lost the lease, answers each call with an
// error; regular reports find the next one.
constexpr core::Duration failurePause = std::chrono::milliseconds(250);
// From the first quotas to the first answer: requests wait this long at most, as they do for the
// first configuration.
constexpr core::Duration firstAnswerWait = std::chrono::milliseconds(500);
constexpr core::Duration retryAfterUnknown = std::chrono::milliseconds(500);
// A customer counts as limited until none of its requests was refused for this long. Of one that
// steadily exceeds its quota each daemon refuses a request every few seconds; with 2 s the lines
// about the begin and the end of the limitation repeated all the time.
constexpr core::Duration limitationTime = std::chrono::seconds(10);

fleet::StartTime incarnationOf(core::TimePoint now)
{
    return std::chrono::duration_cast<fleet::StartTime>(now.time_since_epoch());
}

} // namespace

CustomerLimits::CustomerLimits(const core::HostId &host, net::TimerService &timers,
                               http::ControlClient &controlClient,
                               observability::GatewayMetrics &metrics, Handlers handlers)
    : m_host(host)
    , m_timers(timers)
    , m_controlClient(controlClient)
    , m_metrics(metrics)
    , m_handlers(std::move(handlers))
    , m_allowance(incarnationOf(net::bootTime()))
{ }

CustomerLimits::~CustomerLimits()
{
    *m_isAlive = false;
}

void CustomerLimits::applyConfiguration(const fleet::Configuration &configuration,
                                        const fleet::Bounds &bounds)
{
    m_allowance.setTolerance(toleranceOf(bounds));
    auto quotas = quotasOf(configuration);
    if (quotas == m_quotas)
        return;
    const core::TimePoint now = net::bootTime();
    if (!m_hasQuotas) {
        m_quotasSince = now;
        m_hasAnswer = false;
    }
    m_quotas = std::move(quotas);
    m_hasQuotas = !m_quotas.empty();
    m_allowance.setQuotas(m_quotas, now);
    if (m_hasQuotas)
        scheduleCall();
}

bool CustomerLimits::isFirstAnswerDue() const
{
    return !m_hasAnswer
        && (m_handlers.isAwaitingFirstCoordinator()
            || net::bootTime() - m_quotasSince < firstAnswerWait);
}

bool CustomerLimits::isExhausted(const core::CustomerId &customer, double tokens) const
{
    return m_allowance.isExhausted(customer, tokens, net::bootTime());
}

CustomerLimits::Decision CustomerLimits::trySpend(const core::CustomerId &customer, double tokens,
                                                  bool isFirst)
{
    using Verdict = QuotaAllowance::Verdict;
    Decision decision = m_allowance.trySpend(customer, tokens, isFirst, net::bootTime());
    if (decision.verdict == Verdict::Granted)
        m_metrics.recordCustomerTokens(customer.value(), tokens);
    else if (decision.verdict == Verdict::Unavailable && isFirstAnswerDue())
        decision.verdict = Verdict::Wait;
    if (m_allowance.isReportDue())
        scheduleCall();
    if (decision.retryAfter <= core::Duration::zero())
        decision.retryAfter = retryAfterUnknown;
    return decision;
}

void CustomerLimits::addWaiting(const core::CustomerId &customer, double tokens)
{
    m_allowance.addWaiting(customer, tokens);
    scheduleCall();
}

void CustomerLimits::removeWaiting(const core::CustomerId &customer, double tokens)
{
    m_allowance.removeWaiting(customer, tokens);
}

void CustomerLimits::refund(const core::CustomerId &customer, double tokens)
{
    m_allowance.refund(customer, tokens);
    m_metrics.recordCustomerRefund(customer.value(), tokens);
}

std::optional<QuotaReport> CustomerLimits::takeReport(bool isRegular)
{
    if (!m_hasQuotas)
        return std::nullopt;
    m_reportedAt = net::bootTime();
    return m_allowance.takeReport(isRegular, m_reportedAt);
}

void CustomerLimits::applyAnswer(const Answer &answer)
{
    if (answer && m_hasQuotas)
        apply(*answer, m_reportedAt);
}

void CustomerLimits::recordNoCoordinator()
{
    if (m_hasQuotas)
        m_allowance.endContact(m_reportedAt, net::bootTime());
}

void CustomerLimits::apply(const QuotaAnswer &answer, core::TimePoint sentAt)
{
    m_hasAnswer = true;
    m_allowance.apply(answer, sentAt, net::bootTime());
    if (m_allowance.isReportDue())
        scheduleCall();
}

void CustomerLimits::scheduleCall()
{
    if (m_isCalling || m_callTimer.isActive())
        return;
    const core::Duration remaining = m_nextCallAt - net::bootTime();
    m_callTimer = m_timers.once(std::max(callDelay, remaining), [this] { call(); });
}

void CustomerLimits::call()
{
    if (!m_hasQuotas)
        return;
    const core::TimePoint sentAt = net::bootTime();
    m_nextCallAt = sentAt + m_pause;
    const auto address = m_handlers.findCoordinator();
    QuotaCall call {m_host, m_allowance.takeReport(false, sentAt)};
    // What is stated of other customers comes with the next regular report: a call for each of
    // hundreds of requests a second must stay small.
    std::erase_if(call.report.uses, [](const auto &entry) { return entry.second.waiting <= 0; });
    if (!address) {
        if (const Answer answer = m_handlers.answerLocally(call)) {
            apply(*answer, sentAt);
            m_handlers.onAnswer();
        } else {
            recordLostCall();
        }
        return;
    }
    m_isCalling = true;
    m_controlClient.call(*address, peerCall(quotaMethod, encode(call)), callTimeout,
                         [this, alive = m_isAlive, sentAt](const auto &response) {
                             if (*alive)
                                 handleReply(response, sentAt);
                         });
}

void CustomerLimits::handleReply(const absl::StatusOr<http::Response> &response,
                                 core::TimePoint sentAt)
{
    m_isCalling = false;
    const rpc::RpcResult reply
        = response.ok() ? rpc::decodeReply({response->body}) : rpc::RpcResult {"no reply", {}};
    const auto answer
        = reply.ok() ? decodeQuotaAnswer(reply.value.text) : absl::UnavailableError(reply.error);
    if (!answer.ok()) {
        recordLostCall();
        return;
    }
    apply(*answer, sentAt);
    m_handlers.onAnswer();
}

void CustomerLimits::recordLostCall()
{
    m_nextCallAt = net::bootTime() + std::max(m_pause, failurePause);
    m_allowance.recordLostReport();
}

void CustomerLimits::recordRefusal(const core::CustomerId &customer, double tokens)
{
    const core::TimePoint now = net::bootTime();
    const auto [entry, isNew] = m_limitations.try_emplace(customer);
    Limitation &limitation = entry->second;
    limitation.lastRefusalAt = now;
    ++limitation.refusals;
    limitation.refusedTokens += tokens;
    if (!isNew)
        return;
    limitation.since = now;
    const auto quota = m_quotas.find(customer);
    const fleet::Quota limit = quota == m_quotas.end() ? fleet::Quota {} : quota->second;
    observability::log(
        {.level = observability::LogLevel::Warn,
         .step = "customer limit",
         .message = absl::StrCat(customer.value(), " begins to be limited: its quota of ",
                                 limit.tokensPerSecond, " per second, burst ", limit.burst,
                                 " is used up, a request of ", tokens, " refused, allowance ",
                                 std::lround(m_allowance.held(customer, now)))});
    if (!m_limitationTimer.isActive())
        m_limitationTimer = m_timers.every(limitationTime, [this] { logEndedLimitations(); });
}

void CustomerLimits::logEndedLimitations()
{
    const core::TimePoint now = net::bootTime();
    std::erase_if(m_limitations, [now](const auto &entry) {
        const auto &[customer, limitation] = entry;
        if (now - limitation.lastRefusalAt < limitationTime)
            return false;
        observability::log(
            {.step = "customer limit",
             .message = absl::StrCat(
                 customer.value(), " is no longer limited: ", limitation.refusals, " requests of ",
                 std::lround(limitation.refusedTokens), " refused within ",
                 core::toMilliseconds(limitation.lastRefusalAt - limitation.since), " ms")});
        return true;
    });
    if (m_limitations.empty())
        m_limitationTimer.cancel();
}

void CustomerLimits::updateMetrics()
{
    const core::TimePoint now = net::bootTime();
    for (const auto &[customer, quota] : m_quotas)
        m_metrics.setCustomerHeld(customer.value(), m_allowance.held(customer, now));
}

} // namespace jackdawlead::gateway::customers
