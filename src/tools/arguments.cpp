#include "arguments.h"

#include "core/error.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace jackdawlead::tools {

namespace {

namespace options = boost::program_options;

struct Command
{
    const char *name;
    const char *operands;
    const char *summary;
    bool usesObjectApi;
    bool usesAdmin;
};

constexpr Command commands[] = {
    {"validate", " FILE", "validates a manifest and prints every error", false, false},
    {"diff", " FILE", "prints the fields in which a manifest differs from the one in force", true,
     false},
    {"apply", " FILE", "makes a manifest the configuration in force", true, false},
    {"get", "", "prints the configuration in force", true, false},
    {"status", "", "prints the state of a daemon", false, true},
    {"drain", "", "starts a planned stop of a daemon", false, true},
    {"explain", " REQUEST-ID", "prints the history of a request from the logs of daemons", false,
     false},
    {"report burn", "", "prints the service-level burn of one or more daemons", false, true},
};

const Command *findCommand(const std::string &name)
{
    const auto *found = std::ranges::find(commands, name, &Command::name);
    return found == std::end(commands) ? nullptr : found;
}

options::options_description optionsOf(const Command &command)
{
    options::options_description all("options");
    all.add_options()("help", "print this text")(
        "output", options::value<std::string>()->default_value("text"), "text or json");
    if (command.usesObjectApi)
        all.add_options()("object-api",
                          options::value<std::string>()->default_value("127.0.0.1:7000"),
                          "IP:PORT of the object API");
    if (std::string(command.name) == "apply")
        all.add_options()("expect-generation", options::value<std::uint64_t>(),
                          "apply only if this generation is in force");
    if (std::string(command.name) == "explain")
        all.add_options()("log", options::value<std::vector<std::string>>()->multitoken(),
                          "log files of daemons; standard input if none is given");
    if (command.usesAdmin)
        all.add_options()(
            "admin",
            options::value<std::vector<std::string>>()->default_value({"127.0.0.1:7003"},
                                                                      "127.0.0.1:7003"),
            "IP:PORT of a daemon's administration listener; may be repeated for report burn")(
            "admin-credential", options::value<std::string>()->default_value(""),
            "credential of the administration listener")(
            "admin-credential-file", options::value<std::string>(),
            "file with that credential in its first line; keeps it out of process lists");
    return all;
}

absl::Status usageError(const std::string &message, const std::string &command)
{
    return core::makeError(absl::StatusCode::kInvalidArgument, "arguments", "command line",
                           message + "\n" + usage(command));
}

absl::StatusOr<net::Address> parseAddress(const std::string &option, const std::string &text,
                                          const std::string &command)
{
    const std::size_t separator = std::min(text.rfind(':'), text.size());
    const std::string digits = separator < text.size() ? text.substr(separator + 1) : "";
    int port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool isNumber = error == std::errc() && end == digits.data() + digits.size();
    if (!isNumber || port < 1 || port > 65535 || separator == 0)
        return usageError("--" + option + ": must be IP:PORT, got '" + text + "'", command);
    return net::Address {text.substr(0, separator), static_cast<std::uint16_t>(port)};
}

absl::Status readAdmin(const options::variables_map &values, Arguments &arguments)
{
    for (const std::string &text : values["admin"].as<std::vector<std::string>>()) {
        const auto address = parseAddress("admin", text, arguments.command);
        if (!address.ok())
            return address.status();
        arguments.adminAddresses.push_back(*address);
    }
    if (arguments.adminAddresses.size() > 1 && arguments.command != "report burn")
        return usageError("--admin: may be given only once", arguments.command);
    arguments.adminCredential = values["admin-credential"].as<std::string>();
    if (!values.contains("admin-credential-file"))
        return absl::OkStatus();
    const std::string path = values["admin-credential-file"].as<std::string>();
    std::ifstream file(path);
    if (!std::getline(file, arguments.adminCredential))
        return usageError("--admin-credential-file: '" + path + "' cannot be read",
                          arguments.command);
    return absl::OkStatus();
}

absl::Status readValues(const options::variables_map &values, Arguments &arguments)
{
    const std::string output = values["output"].as<std::string>();
    if (output != "text" && output != "json")
        return usageError("--output: must be text or json, got '" + output + "'",
                          arguments.command);
    arguments.format = output == "json" ? OutputFormat::Json : OutputFormat::Text;
    const Command *command = findCommand(arguments.command);
    if (command->usesObjectApi) {
        const auto address
            = parseAddress("object-api", values["object-api"].as<std::string>(), arguments.command);
        if (!address.ok())
            return address.status();
        arguments.objectApi = *address;
    }
    if (values.contains("expect-generation"))
        arguments.expectedGeneration
            = core::Generation(values["expect-generation"].as<std::uint64_t>());
    if (values.contains("log"))
        arguments.logFiles = values["log"].as<std::vector<std::string>>();
    if (values.contains("file"))
        arguments.operand = values["file"].as<std::string>();
    if (*command->operands != '\0' && arguments.operand.empty())
        return usageError(std::string(command->operands + 1) + " is missing", arguments.command);
    return command->usesAdmin ? readAdmin(values, arguments) : absl::OkStatus();
}

} // namespace

std::vector<std::string> commandNames()
{
    std::vector<std::string> names;
    for (const Command &command : commands)
        names.emplace_back(command.name);
    return names;
}

std::string usage(const std::string &command)
{
    std::ostringstream text;
    if (const Command *known = findCommand(command)) {
        text << "usage: jackdawctl " << known->name << known->operands << " [OPTIONS]\n"
             << known->summary << "\n"
             << optionsOf(*known);
        return text.str();
    }
    text << "usage: jackdawctl COMMAND [OPTIONS]\ncommands:\n";
    for (const Command &known : commands)
        text << "  " << known.name << known.operands << ": " << known.summary << "\n";
    text << "jackdawctl COMMAND --help prints the options of a command.\n"
            "exit codes: 0 done, 1 refused, 2 wrong use, 3 conflict, 4 platform out of reach\n";
    return text.str();
}

absl::StatusOr<Arguments> parseArguments(const std::vector<std::string> &args)
{
    Arguments arguments;
    if (args.empty())
        return usageError("COMMAND is missing", {});
    if (args.front() == "--help") {
        arguments.helpText = usage({});
        return arguments;
    }
    std::size_t commandWords = 1;
    arguments.command = args.front();
    if (arguments.command == "report" && args.size() > 1) {
        arguments.command += " " + args[1];
        commandWords = 2;
    }
    const Command *command = findCommand(arguments.command);
    if (!command)
        return usageError("unknown command '" + arguments.command + "'", {});
    options::options_description all = optionsOf(*command);
    options::positional_options_description positional;
    if (*command->operands != '\0') {
        all.add_options()("file", options::value<std::string>());
        positional.add("file", 1);
    }
    options::variables_map values;
    try {
        const std::vector<std::string> optionArgs(
            args.begin() + static_cast<std::ptrdiff_t>(commandWords), args.end());
        options::store(
            options::command_line_parser(optionArgs).options(all).positional(positional).run(),
            values);
    } catch (const options::error &error) {
        return usageError(error.what(), arguments.command);
    }
    if (values.contains("help")) {
        arguments.helpText = usage(arguments.command);
        return arguments;
    }
    if (const absl::Status status = readValues(values, arguments); !status.ok())
        return status;
    return arguments;
}

} // namespace jackdawlead::tools
