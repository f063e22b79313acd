#pragma once

#include "core/time.h"

namespace jackdawlead::decisions {

/// What one reader of the store knows of its contact with it, from the results of its calls. Keeps
/// three facts apart that a failed call must not be taken for at the same time: whether the store
/// can be called, how old the known state may be, and whether entries may have expired because
/// their owners could not renew them. Thread safety: one thread at a time.
class StoreContact
{
public:
    struct Limits
    {
        /// Interval at which owners renew their entries. A shorter outage makes none expire.
        core::Duration renewalInterval = std::chrono::milliseconds(1200);
        /// Time from the end of an outage until expired entries are back.
        core::Duration reappearanceTime {};
    };

    explicit StoreContact(const Limits &limits)
        : m_limits(limits)
    { }

    /// A call is answered now; the answer includes all changes that were made before `asOf`. The
    /// answer may be much older than `now`, which counts only for the contact itself.
    void recordSuccess(core::TimePoint asOf, core::TimePoint now);
    void recordFailure() { ++m_failures; }
    /// The store came back from a copy, which may lack entries that their owners write again.
    void recordRestore(core::TimePoint now) { m_reappearanceEnd = now + m_limits.reappearanceTime; }

    /// Whether the last call succeeded.
    bool isReachable() const { return m_failures == 0; }
    /// Failed calls since the last success.
    int failures() const { return m_failures; }
    /// The known state includes all changes that were made before this time.
    core::TimePoint confirmedAt() const { return m_confirmedAt; }
    /// Up to when the state before the last answer was known; the changes that the last answer
    /// brought were made after it.
    core::TimePoint changedAfter() const { return m_changedAfter; }
    /// Until when an entry that is missing may have expired in an outage and may come back; not in
    /// the future if there was no such outage.
    core::TimePoint reappearanceEnd() const { return m_reappearanceEnd; }

private:
    Limits m_limits;
    int m_failures = 0;
    core::TimePoint m_lastSuccessAt;
    core::TimePoint m_confirmedAt;
    core::TimePoint m_changedAfter;
    core::TimePoint m_reappearanceEnd;
};

} // namespace jackdawlead::decisions
