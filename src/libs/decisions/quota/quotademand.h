#pragma once

#include "core/time.h"

namespace jackdawlead::decisions::quota {

/// One customer's demand at one daemon, from the costs of requests that arrived there. Thread
/// safety: one thread at a time.
class QuotaDemand
{
public:
    void add(double tokens, core::TimePoint now);
    /// Tokens per second that were asked for lately.
    double perSecond(core::TimePoint now) const;
    /// Tokens to hold so that few of the requests that arrive within `horizon` lack them; zero if
    /// a request is unlikely.
    double need(core::Duration horizon, core::TimePoint now) const;

    /// Of the requests that arrived lately; zero without any.
    double meanCost() const { return m_requests > 0 ? m_slow / m_requests : 0; }

private:
    void decay(core::TimePoint now);

    double m_fast = 0;     ///< Tokens, decaying with the shorter time.
    double m_slow = 0;     ///< Tokens, decaying with the longer time.
    double m_requests = 0; ///< Decaying like `m_slow`.
    core::TimePoint m_decayedAt;
};

} // namespace jackdawlead::decisions::quota
