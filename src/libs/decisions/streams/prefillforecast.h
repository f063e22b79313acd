#pragma once

#include "core/time.h"

namespace jackdawlead::decisions::streams {

/// Estimates the prompt tokens that lengthen the gaps at an endpoint, besides those of this daemon
/// that are not read yet. Others' prompts are read within some ten milliseconds and reports are
/// some hundred milliseconds old, so that their estimate goes from the last report to the mean of
/// the recent ones. Thread safety: one thread at a time.
class PrefillForecast
{
public:
    /// Sets the tokens that the others had in progress according to a report that arrived now.
    void setReported(double tokens, core::TimePoint now);
    /// Records that the endpoint has read a prompt of this daemon.
    void recordRead(int tokens, core::TimePoint now);
    /// Tokens of this daemon that were read lately and are part of a gap that is not over.
    double recentlyRead(core::TimePoint now) const;
    bool isKnown(core::TimePoint now) const;
    /// Tokens in progress; zero while nothing is known.
    double tokens(core::TimePoint now) const;

private:
    double m_mean = 0;
    double m_last = 0;
    core::TimePoint m_reportedAt;
    double m_read = 0;
    core::TimePoint m_readAt;
};

} // namespace jackdawlead::decisions::streams
