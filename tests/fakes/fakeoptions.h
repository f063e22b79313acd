#pragma once

#include <boost/program_options.hpp>

#include <initializer_list>
#include <iostream>
#include <string>
#include <utility>

namespace jackdawlead::fakes {

/// Reads `--name value` pairs; every option has a default.
inline boost::program_options::variables_map
parseOptions(int argc, char *argv[],
             std::initializer_list<std::pair<const char *, const char *>> defaults)
{
    namespace options = boost::program_options;
    options::options_description description("options");
    for (const auto &[name, value] : defaults)
        description.add_options()(name, options::value<std::string>()->default_value(value));
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    return values;
}

inline std::string textOption(const boost::program_options::variables_map &values, const char *name)
{
    return values[name].as<std::string>();
}

inline int numberOption(const boost::program_options::variables_map &values, const char *name)
{
    return std::stoi(textOption(values, name));
}

} // namespace jackdawlead::fakes
