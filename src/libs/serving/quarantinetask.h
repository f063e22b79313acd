#pragma once

#include "decisions/quarantine.h"
#include "serving/context.h"

#include <absl/status/status.h>

#include <functional>
#include <string>
#include <vector>

namespace jackdawlead::serving {

/// The step of a refusal that must not be followed by another attempt.
inline constexpr const char *quarantineStep = "quarantine";

/// The fingerprint of an engine request. Fields that change only how the answer is transported are
/// left out, so that a caller that asks for a stream the second time meets the same fingerprint.
/// Thread safety: any thread.
decisions::Fingerprint requestFingerprint(const core::CustomerId &customer,
                                          const core::AdapterVersion &adapter,
                                          const std::string &body);

/// Holds the quarantine of this daemon and shares it with the others.
/// Thread safety: the loop's thread only.
class QuarantineTask
{
public:
    using Announce = std::function<void(const decisions::Fact &)>;

    QuarantineTask(Context &context, Announce announce);

    /// Records that the requests were in flight when the endpoint died, and tells all daemons.
    void endpointDied(const core::EndpointId &endpoint,
                      const std::vector<decisions::Fingerprint> &inFlight);
    void mergeFact(const decisions::Fact &fact);
    /// OK if a run may start now; otherwise a refusal as not run with the time to come back.
    absl::Status checkStart(const decisions::Fingerprint &fingerprint) const;
    bool isClear(const decisions::Fingerprint &fingerprint) const;
    bool isQuarantined(const decisions::Fingerprint &fingerprint) const;
    void recordStart(const decisions::Fingerprint &fingerprint)
    {
        m_state.recordStart(fingerprint);
    }
    void recordEnd(const decisions::Fingerprint &fingerprint) { m_state.recordEnd(fingerprint); }

private:
    Context &m_context;
    Announce m_announce;
    decisions::Quarantine m_state;
};

} // namespace jackdawlead::serving
