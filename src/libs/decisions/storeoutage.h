#pragma once

#include "core/time.h"

namespace jackdawlead::decisions {

/// Whether entries of the store may be missing only because their owners could not renew them. One
/// object for all readers of a process: the success of any of them shows that the store served, and
/// the failure of one alone, or of a relay, is no outage. Thread safety: one thread at a time.
class StoreOutage
{
public:
    struct Limits
    {
        /// Interval at which owners renew their entries. A shorter outage makes none expire.
        core::Duration renewalInterval = std::chrono::milliseconds(1200);
        /// Time from the end of an outage until expired entries are back.
        core::Duration reappearanceTime {};
    };

    explicit StoreOutage(const Limits &limits)
        : m_limits(limits)
    { }

    /// A call of any reader is answered now.
    void recordSuccess(core::TimePoint now);
    void recordFailure() { m_hasFailed = true; }
    /// The store came back from a copy, which may lack entries that their owners write again.
    void recordRestore(core::TimePoint now) { m_reappearanceEnd = now + m_limits.reappearanceTime; }
    /// Until when an entry that is missing may have expired in an outage and may come back; not in
    /// the future if there was no such outage.
    core::TimePoint reappearanceEnd() const { return m_reappearanceEnd; }

private:
    Limits m_limits;
    bool m_hasFailed = false; ///< A call, since the last success.
    core::TimePoint m_lastSuccessAt;
    core::TimePoint m_reappearanceEnd;
};

} // namespace jackdawlead::decisions
