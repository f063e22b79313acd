#pragma once

#include "core/time.h"

namespace jackdawlead::decisions::streams {

/// Estimates the prompt tokens of other daemons that an endpoint has not read yet. A prompt is read
/// within some ten milliseconds and reports are some hundred milliseconds old, so that the estimate
/// goes from the last report to the mean of the recent ones. Thread safety: one thread at a time.
class PrefillForecast
{
public:
    /// Sets the tokens that the others had in progress according to a report that arrived now.
    void setReported(double tokens, core::TimePoint now);
    void reset() { *this = {}; }
    bool isKnown(core::TimePoint now) const;
    /// Tokens in progress; zero while nothing is known.
    double tokens(core::TimePoint now) const;

private:
    double m_mean = 0;
    double m_last = 0;
    core::TimePoint m_reportedAt;
};

} // namespace jackdawlead::decisions::streams
