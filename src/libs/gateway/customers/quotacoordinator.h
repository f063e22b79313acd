#pragma once

#include "decisions/quota/quotaholders.h"
#include "decisions/quota/quotaissuer.h"
#include "fleet/configuration.h"
#include "fleet/hostsettings.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>

namespace jackdawlead::gateway::customers {

/// The coordinator's part of the customers' quotas: answers the daemons' reports, and keeps the
/// holders of shares for a successor. Thread safety: the event loop's thread only.
class QuotaCoordinator
{
public:
    void applyConfiguration(const fleet::Configuration &configuration, const fleet::Bounds &bounds,
                            core::TimePoint now);
    /// Begins a term as the coordinator, with empty buckets and with the holders that the lease's
    /// record named last.
    void beginTerm(core::FencingToken token, core::TimePoint now);
    /// Answers a report that arrived now; the answer must be sent at once, since allowances expire.
    /// Precondition: beginTerm() was called.
    decisions::quota::QuotaAnswer answer(const core::HostId &daemon,
                                         const decisions::quota::QuotaReport &report,
                                         core::TimePoint now);
    /// The holders for the lease's record; null if no customer has a quota. A daemon whose term is
    /// not that of `token`, the record's present one, passes on what it found in the record.
    nlohmann::json encodeHolders(core::FencingToken token);
    /// Records what the lease's record says about the holders.
    /// Errors: nlohmann::json::exception if the value is malformed.
    void applyHolders(const nlohmann::json &value);

private:
    decisions::quota::QuotaIssuer m_issuer;
    decisions::quota::QuotaHolders m_holders;
    decisions::quota::QuotaHolders::Records m_recordedHolders; ///< In the lease's record.
    bool m_hasQuotas = false;
    std::map<core::CustomerId, core::TimePoint> m_limitedSince; ///< Customers with quotas.
    core::FencingToken m_token;                                 ///< Of the last term.
    core::TimePoint m_termSince;
};

} // namespace jackdawlead::gateway::customers
