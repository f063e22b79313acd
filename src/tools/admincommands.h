#pragma once

#include "arguments.h"

namespace jackdawlead::tools {

/// The commands that send requests to the administration listeners of daemons.
/// Thread safety: one thread.
class AdminCommands
{
public:
    explicit AdminCommands(const Arguments &arguments)
        : m_arguments(arguments)
        , m_printer(arguments.format)
    { }

    ExitCode status() const;
    ExitCode drain() const;
    ExitCode reportBurn() const;

private:
    absl::StatusOr<nlohmann::json> call(const net::Address &admin, const std::string &method,
                                        const std::string &path) const;
    ExitCode callDaemon(const std::string &method, const std::string &path) const;

    const Arguments &m_arguments;
    Printer m_printer;
};

} // namespace jackdawlead::tools
