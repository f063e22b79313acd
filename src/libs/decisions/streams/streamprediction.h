#pragma once

#include "core/time.h"
#include "decisions/streams/enginetimes.h"

#include <vector>

namespace jackdawlead::decisions::streams {

/// A stream that is to begin, and its targets.
struct StreamDemand
{
    int promptTokens = 0;
    core::Duration targetGap {};
    core::Duration timeLeft {};   ///< Until its first event is late.
    bool mayAwaitShare = false;   ///< It may wait until the daemon's own part takes it.
    bool mayAwaitTargets = false; ///< It may wait until an endpoint keeps the targets.
};

/// What is known about an endpoint at which it may begin.
struct EndpointState
{
    double timeFactor = 1;
    int slots = 1;
    double requests = 0; ///< In progress there, of all daemons.
    /// Prompt tokens of this daemon that are not read yet or were read within the present gap.
    double ownTokens = 0;
    double otherTokens = 0; ///< Expected number of those of other daemons.
    double share = 0;       ///< The part of the endpoint that is meant for this daemon.
};

/// What the endpoint is expected to do if the stream begins there now.
struct StreamPrediction
{
    core::Duration firstEvent {};
    core::Duration gap {}; ///< Longest one of the streams there while the prompts are read.
    double usedBudget = 0; ///< Part of the prompt tokens that fit into a gap, own ones only.
    bool keepsTargets = true;
    bool keepsShare = true; ///< The own tokens also leave the other daemons their part.
};

/// Predicts first event and gap. Thread safety: any thread.
StreamPrediction predictStream(const EngineTimes &times, const StreamDemand &demand,
                               const EndpointState &endpoint);

/// How many streams an endpoint takes in comparison with others, in slots of one with the typical
/// time factor. A slow one has less time for prompts in each gap and holds its streams for longer,
/// so that the capacity falls with the power 3/2 of the factor. One that is much slower than
/// typical gets only so many streams that its recovery is noticed.
double streamCapacity(int slots, double timeFactor, double typicalFactor);

/// The lower median of the time factors; 1 if there are none.
double typicalFactorOf(std::vector<double> timeFactors);

} // namespace jackdawlead::decisions::streams
