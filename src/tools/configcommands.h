#pragma once

#include "arguments.h"

namespace jackdawlead::tools {

/// The commands that read or change the configuration. Thread safety: one thread.
class ConfigCommands
{
public:
    explicit ConfigCommands(const Arguments &arguments)
        : m_arguments(arguments)
        , m_printer(arguments.format)
    { }

    ExitCode validate() const;
    ExitCode diff() const;
    ExitCode apply() const;
    ExitCode show() const;

private:
    const Arguments &m_arguments;
    Printer m_printer;
};

} // namespace jackdawlead::tools
