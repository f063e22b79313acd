#pragma once

#include "decisions/endpointchooser.h"
#include "decisions/streams/streamprediction.h"

#include <vector>

namespace jackdawlead::decisions::streams {

/// An endpoint that could take a stream now.
struct StreamOption
{
    EndpointOption option;
    EndpointState state;
};

/// How a stream's endpoint was chosen.
enum class StreamChoiceKind {
    Share, ///< Within the part of the endpoint that is meant for this daemon.
    Other, ///< Elsewhere.
    Held,  ///< Nowhere yet: it would break a target everywhere, or all endpoints are full.
};

struct StreamChoice
{
    EndpointChoice choice;
    StreamChoiceKind kind = StreamChoiceKind::Held;
};

/// Chooses an endpoint where neither the gaps of the streams there nor the first event of this one
/// are expected to be late. The parts that are meant for this daemon come first, because it knows
/// the prompts there; then all endpoints, by what they can take. None is chosen while the stream
/// may wait and something is worth it; when it may not, one is chosen even if the targets break
/// there. For the other parameters see chooseEndpoint(). Thread safety: any thread.
StreamChoice chooseForStream(std::vector<StreamOption> options, const EngineTimes &times,
                             const StreamDemand &demand, double draw, double unreportedPerEndpoint);

} // namespace jackdawlead::decisions::streams
