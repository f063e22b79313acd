#pragma once

#include "decisions/quota/quotaallowance.h"
#include "fleet/configuration.h"
#include "fleet/hostsettings.h"
#include "gateway/customers/quotamessages.h"
#include "http/controlclient.h"
#include "net/timerservice.h"
#include "observability/gatewaymetrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace jackdawlead::gateway::customers {

/// This daemon's part of the customers' quotas: states in reports what its requests need, applies
/// the coordinator's answers, and asks for allowances at once when a request waits. Does nothing
/// while no customer has a quota. Thread safety: the event loop's thread only.
class CustomerLimits
{
public:
    using Decision = decisions::quota::QuotaAllowance::Decision;
    using Answer = std::optional<decisions::quota::QuotaAnswer>;
    struct Handlers
    {
        /// The address of the coordinator; empty if none is known or if it is this daemon.
        std::function<std::optional<net::Address>()> findCoordinator;
        /// Answers a call if this daemon is the coordinator; otherwise empty.
        std::function<Answer(const QuotaCall &)> answerLocally;
        /// Whether the daemon started recently and may still find its first coordinator.
        std::function<bool()> isAwaitingFirstCoordinator;
        /// Called from the event loop when requests may have received allowances.
        std::function<void()> onAnswer;
    };

    CustomerLimits(const core::HostId &host, net::TimerService &timers,
                   http::ControlClient &controlClient, observability::GatewayMetrics &metrics,
                   Handlers handlers);
    ~CustomerLimits();
    CustomerLimits(const CustomerLimits &) = delete;
    CustomerLimits &operator=(const CustomerLimits &) = delete;

    void applyConfiguration(const fleet::Configuration &configuration, const fleet::Bounds &bounds);
    bool isLimited(const core::CustomerId &customer) const
    {
        return m_hasQuotas && m_allowance.isLimited(customer);
    }
    /// Whether the last answer, which still counts, said that the quota is used up, and the
    /// allowance does not suffice.
    bool isExhausted(const core::CustomerId &customer, double tokens) const;
    /// Spends the tokens of a request if that is possible now. `isFirst` is false for a request
    /// that waits already. Before the first answer of a coordinator the verdict is Wait.
    Decision trySpend(const core::CustomerId &customer, double tokens, bool isFirst);
    /// A request waits for an allowance until removeWaiting(): the coordinator is asked at once.
    void addWaiting(const core::CustomerId &customer, double tokens);
    void removeWaiting(const core::CustomerId &customer, double tokens);
    /// Gives back the tokens of a request that certainly did not run.
    void refund(const core::CustomerId &customer, double tokens);
    /// Records that a request is refused because the customer's quota is used up.
    void recordRefusal(const core::CustomerId &customer, double tokens);

    /// What the next report to the coordinator states; empty if no customer has a quota. The report
    /// must be sent at once.
    std::optional<decisions::quota::QuotaReport> takeReport(bool isRegular);
    /// Applies the answer to the last report of takeReport(); empty if the coordinator, of an
    /// earlier release, gave none.
    void applyAnswer(const Answer &answer);
    /// The reply to the last report of takeReport() says that its sender is no coordinator.
    void recordNoCoordinator();
    /// The last report of takeReport() got no answer.
    void recordLostReport() { m_allowance.recordLostReport(); }
    /// Sets the minimum interval of calls, as for reports of new demand.
    void setPause(core::Duration pause) { m_pause = pause; }
    /// Sets the metrics that are not counters.
    void updateMetrics();

private:
    /// A customer with refused requests.
    struct Limitation
    {
        core::TimePoint since;
        core::TimePoint lastRefusalAt;
        int refusals = 0;
        double refusedTokens = 0;
    };

    void scheduleCall();
    void call();
    void handleReply(const absl::StatusOr<http::Response> &response, core::TimePoint sentAt);
    void recordLostCall();
    void apply(const decisions::quota::QuotaAnswer &answer, core::TimePoint sentAt);
    bool isFirstAnswerDue() const;
    void logEndedLimitations();

    const core::HostId &m_host;
    net::TimerService &m_timers;
    http::ControlClient &m_controlClient;
    observability::GatewayMetrics &m_metrics;
    Handlers m_handlers;
    decisions::quota::QuotaAllowance m_allowance;
    std::map<core::CustomerId, fleet::Quota> m_quotas;
    std::map<core::CustomerId, Limitation> m_limitations;
    bool m_hasQuotas = false;
    bool m_hasAnswer = false; ///< Since customers have quotas.
    core::TimePoint m_quotasSince;
    core::TimePoint m_reportedAt; ///< When the last report was sent.
    bool m_isCalling = false;
    core::TimePoint m_nextCallAt;
    core::Duration m_pause {};
    net::TimerService::Subscription m_callTimer;
    net::TimerService::Subscription m_limitationTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway::customers
