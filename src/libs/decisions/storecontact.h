#pragma once

#include "core/time.h"

namespace jackdawlead::decisions {

/// What one reader of the store knows of its contact with it, from the results of its calls. Keeps
/// two facts apart that a failed call must not be taken for at the same time: whether the store can
/// be called, and how old the known state may be. Thread safety: one thread at a time.
class StoreContact
{
public:
    /// A call is answered; the answer includes all changes that were made before `asOf`, which may
    /// be long ago.
    void recordSuccess(core::TimePoint asOf);
    /// The answer to a call that counted as failed has arrived. It brings changes, but does not
    /// show that the store can be called now.
    void recordLateAnswer(core::TimePoint asOf);
    void recordFailure() { ++m_failures; }

    /// Whether the last call succeeded.
    bool isReachable() const { return m_failures == 0; }
    /// Failed calls since the last success.
    int failures() const { return m_failures; }
    /// The known state includes all changes that were made before this time.
    core::TimePoint confirmedAt() const { return m_confirmedAt; }
    /// Up to when the state before the last answer was known; the changes that the last answer
    /// brought were made after it.
    core::TimePoint changedAfter() const { return m_changedAfter; }

private:
    int m_failures = 0;
    core::TimePoint m_confirmedAt;
    core::TimePoint m_changedAfter;
};

} // namespace jackdawlead::decisions
