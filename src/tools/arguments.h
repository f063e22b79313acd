#pragma once

#include "core/ids.h"
#include "net/httpmessage.h"
#include "printer.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace jackdawlead::tools {

/// The parsed command line of jackdawctl.
struct Arguments
{
    std::string command;  ///< One of commandNames(), or empty if help of the tool was requested.
    std::string helpText; ///< Set if help was requested.
    std::string operand;  ///< Manifest file or request id; empty if there is none.
    std::vector<std::string> logFiles; ///< Log files; empty for standard input.
    net::Address objectApi;
    std::vector<net::Address> adminAddresses;
    std::string adminCredential;
    std::optional<core::Generation> expectedGeneration;
    OutputFormat format = OutputFormat::Text;
};

/// Returns all commands as written on the command line.
std::vector<std::string> commandNames();
/// Returns the usage text of one command, or of the tool if `command` is empty.
std::string usage(const std::string &command);
/// Parses the arguments after the program name. Errors: kInvalidArgument with step `arguments`; the
/// message ends with the usage text of the command.
absl::StatusOr<Arguments> parseArguments(const std::vector<std::string> &args);

} // namespace jackdawlead::tools
