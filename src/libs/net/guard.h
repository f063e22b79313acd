#pragma once

#include <exception>
#include <functional>
#include <string_view>

namespace jackdawlead::net {

/// Takes what an exception said, and where it was caught. It must not throw.
using FailureReport = std::function<void(std::string_view source, std::string_view what)>;

/// Sets what is told of exceptions that runGuarded() catches; by default they go to standard error.
/// Precondition: no loop runs yet. Thread safety: one thread.
void setFailureReport(FailureReport report);

/// Tells the present failure report. Thread safety: any thread, after the report was set.
void reportFailure(std::string_view source, std::string_view what) noexcept;

/// Runs `work` and returns whether it ended without an exception. Callbacks of the event library go
/// through here: an exception that passes its C code ends the process with all its requests.
/// Thread safety: any thread.
template <typename Work> bool runGuarded(std::string_view source, Work &&work) noexcept
{
    try {
        work();
        return true;
    } catch (const std::exception &error) {
        reportFailure(source, error.what());
    } catch (...) {
        reportFailure(source, "unknown exception");
    }
    return false;
}

} // namespace jackdawlead::net
