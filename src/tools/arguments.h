#pragma once

#include "core/ids.h"
#include "net/httpmessage.h"
#include "printer.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace jackdawlead::tools {

/// The arguments of one call of jackdawctl.
struct Arguments
{
    std::string command;           ///< One of commandNames(), or empty if help was asked for.
    std::string helpText;          ///< Set if help was asked for.
    std::string file;              ///< The operand of the command.
    std::vector<std::string> logs; ///< Empty for standard input.
    net::Address objectApi;
    std::vector<net::Address> admins;
    std::string adminCredential;
    std::optional<core::Generation> expected;
    OutputFormat format = OutputFormat::Text;
};

/// All commands, as they are written on the command line.
std::vector<std::string> commandNames();
/// The usage text of one command, or of the tool if `command` is empty.
std::string usage(const std::string &command);
/// Reads the words after the program's name. Errors: kInvalidArgument with step `arguments`; the
/// message ends with the usage text of the command.
absl::StatusOr<Arguments> parseArguments(const std::vector<std::string> &words);

} // namespace jackdawlead::tools
