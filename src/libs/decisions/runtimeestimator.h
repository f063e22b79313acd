#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace jackdawlead::decisions {

/// How certain a prediction must be.
enum class Confidence {
    Possible,      ///< As long as the latest ones, whatever requests in progress show.
    Likely,        ///< Requests may become somewhat slower.
    NearlyCertain, ///< Also covers endpoints that suddenly become many times slower.
};

/// Predicts how long a request may take at an endpoint from the latest ones that were answered.
/// Thread safety: one thread at a time.
class RunTimeEstimator
{
public:
    /// Records a request that was answered at `now`.
    void record(core::TimePoint sentAt, core::TimePoint now);
    /// A duration that hardly any request exceeds; empty while there are too few samples, and while
    /// the prediction is refuted unless Confidence::Possible suffices.
    std::optional<core::Duration> longestExpected(Confidence confidence = Confidence::Likely) const;
    /// The longest sample, with the same margins; zero without samples.
    core::Duration scaledLongest(Confidence confidence) const;
    /// From now on requests are compared with the samples until `now`. Those that take up to
    /// `negligible` never count as slow.
    void beginObservation(core::TimePoint now, core::Duration negligible);
    /// Refutes the prediction while most requests that were sent since beginObservation() take
    /// longer than any before. `inProgress` are the times at which unanswered requests were sent.
    void checkInProgress(const std::vector<core::TimePoint> &inProgress, core::TimePoint now);
    bool isRefuted() const { return m_isRefuted; }

private:
    static constexpr std::size_t sampleCount = 64;

    struct Request
    {
        core::TimePoint sentAt;
        core::Duration duration;
    };

    core::Duration longestSample() const;

    std::array<core::Duration, sampleCount> m_samples {}; ///< Ring buffer of the latest samples.
    std::size_t m_recorded = 0;
    std::optional<core::TimePoint> m_observedFrom;
    core::Duration m_slowTime {};    ///< Requests that take longer are slow.
    std::vector<Request> m_answered; ///< Sent and answered since m_observedFrom.
    bool m_isRefuted = false;
};

/// Whether work that begins at `now` is expected to end by `end`. It takes `limit` at most, and
/// `expected` if that is known. Thread safety: any thread.
bool canEndBy(core::TimePoint end, core::TimePoint now, core::Duration limit,
              const std::optional<core::Duration> &expected);

} // namespace jackdawlead::decisions
