#pragma once

#include "core/ids.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace jackdawlead::serving {

/// Holds an engine's answer back until it names the adapter and version that were asked for, and
/// checks that it is complete. Thread safety: one thread at a time.
class AnswerCheck
{
public:
    AnswerCheck(core::AdapterVersion expected, bool isStream);

    /// Takes the next bytes of the answer and returns those that may go to the caller now.
    /// Errors: kInternal with step `relay` if the answer names another adapter or version.
    absl::StatusOr<std::string> accept(std::string_view data);
    /// Returns the remaining bytes. Errors: as accept(); kDataLoss if the answer is incomplete.
    absl::StatusOr<std::string> finish();

private:
    absl::Status checkModel(const std::string &json) const;

    core::AdapterVersion m_expected;
    bool m_isStream;
    bool m_isVerified = false;
    std::string m_held;
    std::string m_tail; ///< The last bytes of a stream, where its end mark is found.
};

} // namespace jackdawlead::serving
