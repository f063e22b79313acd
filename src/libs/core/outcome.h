#pragma once

#include <string_view>

namespace jackdawlead::core {

/// What is known about the execution of a request.
/// There is deliberately no conversion from Unknown to NotRun.
enum class Outcome {
    Completed, ///< The endpoint's complete answer was received.
    NotRun,    ///< Certain: no endpoint received it, or the endpoint refused before the start.
    Unknown,   ///< The request may have run; it must not be repeated unless it is idempotent.
};

constexpr std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "completed";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace jackdawlead::core
