#pragma once

#include "exitcode.h"

#include <nlohmann/json.hpp>

#include <string>

namespace jackdawlead::tools {

enum class OutputFormat { Text, Json };

/// Prints the result of a command: text for people, or one line of JSON for programs.
/// Thread safety: one thread.
class Printer
{
public:
    explicit Printer(OutputFormat format)
        : m_format(format)
    { }

    /// Prints to standard output.
    ExitCode result(const nlohmann::json &json, const std::string &text) const;
    /// Prints an error: JSON to standard output, text to standard error. `details` is added to the
    /// JSON.
    ExitCode error(const absl::Status &status,
                   const nlohmann::json &details = nlohmann::json::object()) const;

private:
    OutputFormat m_format;
};

} // namespace jackdawlead::tools
