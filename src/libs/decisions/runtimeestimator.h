#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace jackdawlead::decisions {

/// Predicts how long a request may take at an endpoint from the latest ones that were answered.
/// Thread safety: one thread at a time.
class RunTimeEstimator
{
public:
    void record(core::Duration duration);
    /// A duration that hardly any request exceeds; empty while there are too few samples.
    std::optional<core::Duration> longestExpected() const;

private:
    static constexpr std::size_t sampleCount = 64;

    std::array<core::Duration, sampleCount> m_samples {}; ///< Ring buffer of the latest samples.
    std::size_t m_recorded = 0;
};

/// Whether work that begins at `now` is expected to end by `end`. It takes `limit` at most, and
/// `expected` if that is known. Thread safety: any thread.
bool canEndBy(core::TimePoint end, core::TimePoint now, core::Duration limit,
              const std::optional<core::Duration> &expected);

} // namespace jackdawlead::decisions
