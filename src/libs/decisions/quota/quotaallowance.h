#pragma once

#include "decisions/quota/quotademand.h"
#include "decisions/quota/quotatypes.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace jackdawlead::decisions::quota {

/// One daemon's allowances of all customers, and its shares for the time without a coordinator.
/// Thread safety: one thread at a time.
class QuotaAllowance
{
public:
    enum class Verdict {
        Granted,     ///< The tokens are spent.
        Wait,        ///< No allowance; the coordinator is to be asked.
        Exhausted,   ///< The coordinator has said that the quota is used up.
        Unavailable, ///< No coordinator, and the share does not suffice.
    };
    struct Decision
    {
        Verdict verdict = Verdict::Granted;
        core::Duration retryAfter {}; ///< For Exhausted and Unavailable.
        core::Duration answerAge {};  ///< Of the coordinator's last answer; for the log.
        double held = 0;              ///< Of the customer before the decision; for the log.
    };

    explicit QuotaAllowance(fleet::StartTime incarnation)
        : m_incarnation(incarnation)
    { }

    /// Replaces the quotas; customers that are not named are not limited.
    void setQuotas(const std::map<core::CustomerId, fleet::Quota> &quotas, core::TimePoint now);
    /// Sets how much the shares of all daemons together may hold. Without it they hold the burst.
    void setTolerance(const QuotaTolerance &tolerance) { m_tolerance = tolerance; }
    bool isLimited(const core::CustomerId &customer) const;
    bool hasQuotas() const;
    /// Spends `tokens` if that is possible now. A customer without a quota is always granted.
    /// `isFirst` counts the tokens as demand; false for a request that waits already.
    Decision trySpend(const core::CustomerId &customer, double tokens, bool isFirst,
                      core::TimePoint now);
    /// Whether trySpend() would return Exhausted.
    bool isExhausted(const core::CustomerId &customer, double tokens, core::TimePoint now) const;
    /// A request begins, or ends, to wait for an allowance.
    void addWaiting(const core::CustomerId &customer, double tokens);
    void removeWaiting(const core::CustomerId &customer, double tokens);
    /// Gives back the tokens of a request that certainly did not run.
    void refund(const core::CustomerId &customer, double tokens);
    /// The daemon that answered last has stated in a reply to a report, sent at `sentAt`, that it
    /// issues nothing any more. The share can be used at once, because a successor withholds it
    /// until it is in contact with this daemon.
    void endContact(core::TimePoint sentAt, core::TimePoint now);
    /// Whether requests wait that the coordinator does not know of yet.
    bool isReportDue() const;
    /// The report to send now. With `isRegular` excess allowances are returned.
    QuotaReport takeReport(bool isRegular, core::TimePoint now);
    /// The last report got no answer; requests that wait are to be reported again.
    void recordLostReport();
    /// Applies the answer to a report that was sent at `sentAt`. Answers of a coordinator with an
    /// older token are ignored.
    void apply(const QuotaAnswer &answer, core::TimePoint sentAt, core::TimePoint now);
    /// Tokens that can be spent now.
    double held(const core::CustomerId &customer, core::TimePoint now) const;

private:
    /// Tokens of one answer.
    struct Lot
    {
        double tokens = 0;
        core::TimePoint expiresAt;
    };
    struct Customer
    {
        fleet::Quota quota;
        std::deque<Lot> lots; ///< The earliest to expire first.
        QuotaUse totals;      ///< Only the totals are used.
        QuotaDemand demand;
        std::multiset<double> waiting;
        bool isAnswered = false; ///< Since the last report, and not as exhausted.
        std::optional<core::TimePoint> exhaustedAt; ///< When the report so answered was sent.
        core::Duration fillTime {};
        double shareLevel = 0;
        core::TimePoint shareFilledAt;
    };

    static double unexpired(Customer &customer, core::TimePoint now);
    static void spend(Customer &customer, double tokens);
    static void giveUp(Customer &customer, double tokens);
    void returnExcess(Customer &customer, core::TimePoint now) const;
    Decision spendShare(Customer &customer, double tokens, core::TimePoint now);
    bool isInContact(core::TimePoint now) const;
    static bool isExhausted(const Customer &customer, core::TimePoint now);
    core::Duration spread(core::Duration duration);

    fleet::StartTime m_incarnation;
    QuotaTolerance m_tolerance;
    std::map<core::CustomerId, Customer> m_customers;
    /// Of customers that have no quota any more. Totals that begin anew would look to the
    /// coordinator like a report that was overtaken.
    std::map<core::CustomerId, QuotaUse> m_formerTotals;
    core::FencingToken m_token;
    std::uint64_t m_lastAnswer = 0;
    double m_share = 0;
    std::optional<core::TimePoint> m_answeredAt; ///< When the last answer was received.
    core::TimePoint m_shareUntil;
    core::Duration m_reportInterval = std::chrono::milliseconds(500);
    std::optional<core::TimePoint> m_regularReportAt;
    bool m_isReportDue = false;
    std::uint32_t m_spreadCount = 0;
};

} // namespace jackdawlead::decisions::quota
