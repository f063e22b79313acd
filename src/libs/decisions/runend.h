#pragma once

namespace jackdawlead::decisions {

/// Why a daemon ends an exchange with an endpoint before the answer is complete.
enum class RunEnd {
    NotSent,       ///< Nothing of the request was sent.
    Replaced,      ///< Another attempt serves the request.
    RequestEnded,  ///< It was answered, its time is over, or its caller left.
    InvalidAnswer, ///< The endpoint sends no answer, or one without end.
    BuffersFull,   ///< The process cannot hold the answer.
    OlderVersion,  ///< It waits at a version of its adapter on which it may no longer begin.
};

/// What is known of a run that is to be ended.
struct RunState
{
    bool mayHaveBeenSent = false;
    bool hasAnswer = false;      ///< A part of the endpoint's answer has arrived.
    bool isOtherServing = false; ///< Another attempt of the request has sent an event.
    bool isRequestEnded = false;
};

/// Whether a run may be ended for this reason. That another endpoint may take the request is none:
/// it may refuse, and the run that was ended would have answered. Thread safety: any thread.
constexpr bool mayEndRun(RunEnd reason, const RunState &state)
{
    switch (reason) {
    case RunEnd::NotSent:
        return !state.mayHaveBeenSent;
    case RunEnd::Replaced:
        return state.isOtherServing;
    case RunEnd::RequestEnded:
        return state.isRequestEnded;
    case RunEnd::InvalidAnswer:
    case RunEnd::BuffersFull:
        return state.hasAnswer;
    case RunEnd::OlderVersion:
        return !state.hasAnswer;
    }
    return false;
}

} // namespace jackdawlead::decisions
