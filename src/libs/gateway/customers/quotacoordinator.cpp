#include "gateway/customers/quotacoordinator.h"

#include "gateway/customers/customerquotas.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawlead::gateway::customers {

namespace {

using decisions::quota::QuotaAnswer;
using decisions::quota::QuotaHolders;
using decisions::quota::QuotaReport;
using nlohmann::json;

// A bucket begins empty, which says nothing about the customer's use: requests wait meanwhile. The
// allowances of a predecessor have expired by then.
constexpr core::Duration firstFillTime = decisions::quota::allowanceLifetime;

} // namespace

void QuotaCoordinator::applyConfiguration(const fleet::Configuration &configuration,
                                          const fleet::Bounds &bounds, core::TimePoint now)
{
    const auto quotas = quotasOf(configuration);
    if (quotas.empty() && !m_hasQuotas)
        return;
    m_hasQuotas = !quotas.empty();
    m_issuer.setTolerance(toleranceOf(bounds));
    m_issuer.setQuotas(quotas, now);
    std::erase_if(m_limitedSince,
                  [&quotas](const auto &entry) { return !quotas.contains(entry.first); });
    for (const auto &[customer, quota] : quotas)
        m_limitedSince.try_emplace(customer, now);
}

void QuotaCoordinator::beginTerm(core::FencingToken token, core::TimePoint now)
{
    m_termSince = now;
    m_issuer.reset(now);
    // A lease that ended while its renewal was on the way goes on with the same token. The numbers
    // of the answers must go on too, because daemons ignore lower ones.
    if (std::exchange(m_token, token) == token)
        m_holders.resume();
    else
        m_holders.reset(m_recordedHolders, token, now);
}

QuotaAnswer QuotaCoordinator::answer(const core::HostId &daemon, const QuotaReport &report,
                                     core::TimePoint now)
{
    // Not between the report and the answer: a new daemon counts as a holder from its answer on.
    m_holders.removeExpired(now);
    const bool areTotalsKnown = m_holders.recordReport(daemon, report, now);
    m_issuer.setWithheld(m_holders.withheld(now), now);
    QuotaAnswer answer = m_holders.makeAnswer(daemon, now);
    answer.grants = m_issuer.issue(daemon, report, areTotalsKnown, answer.number, now);
    for (auto &[customer, grant] : answer.grants) {
        const auto limitedSince = m_limitedSince.find(customer);
        const core::TimePoint emptySince = std::max(
            m_termSince, limitedSince == m_limitedSince.end() ? now : limitedSince->second);
        grant.isExhausted &= now - emptySince >= firstFillTime;
    }
    return answer;
}

json QuotaCoordinator::encodeHolders(core::FencingToken token)
{
    if (!m_hasQuotas)
        return nullptr;
    if (token == m_token)
        m_recordedHolders = m_holders.records();
    json value = json::object();
    for (const auto &[host, holder] : m_recordedHolders)
        value[host.value()] = {holder.share, holder.incarnation.count()};
    return value;
}

void QuotaCoordinator::applyHolders(const json &value)
{
    QuotaHolders::Records records;
    for (const auto &[host, holder] : value.items()) {
        const auto share = holder.at(0).get<double>();
        if (std::isfinite(share) && share > 0 && share <= 1)
            records[core::HostId(host)]
                = {share, fleet::StartTime(holder.at(1).get<std::int64_t>())};
    }
    m_recordedHolders = std::move(records);
}

} // namespace jackdawlead::gateway::customers
