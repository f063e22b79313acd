#include "printer.h"

#include "core/error.h"

#include <iostream>

namespace jackdawlead::tools {

ExitCode Printer::result(const nlohmann::json &json, const std::string &text) const
{
    std::cout << (m_format == OutputFormat::Json ? json.dump() + "\n" : text);
    return ExitCode::Success;
}

ExitCode Printer::error(const absl::Status &status, const nlohmann::json &details) const
{
    const std::string message(status.message());
    const ExitCode code = exitCodeOf(status);
    if (m_format == OutputFormat::Json) {
        nlohmann::json line {{"error", message},
                             {"step", core::stepOf(status)},
                             {"peer", core::peerOf(status)},
                             {"exitCode", static_cast<int>(code)}};
        line.update(details);
        std::cout << line.dump() << "\n";
    } else {
        std::cerr << core::stepOf(status) << " (" << core::peerOf(status) << "): " << message
                  << "\n";
    }
    return code;
}

} // namespace jackdawlead::tools
