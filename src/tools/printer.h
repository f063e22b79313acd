#pragma once

#include "exitcode.h"

#include <nlohmann/json.hpp>

#include <string>

namespace jackdawlead::tools {

enum class OutputFormat { Text, Json };

/// Prints the result of a command as text or as one line of JSON.
/// Thread safety: one thread.
class Printer
{
public:
    explicit Printer(OutputFormat format)
        : m_format(format)
    { }

    /// Prints `json` or `text` to standard output.
    ExitCode result(const nlohmann::json &json, const std::string &text) const;
    /// Prints an error: JSON to standard output, text to standard error. The members of `details`
    /// are added to the JSON.
    ExitCode error(const absl::Status &status,
                   const nlohmann::json &details = nlohmann::json::object()) const;

private:
    OutputFormat m_format;
};

} // namespace jackdawlead::tools
