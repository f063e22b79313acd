#include "serving/enginereport.h"

#include <cstdlib>
#include <sstream>

namespace jackdawlead::serving {

namespace {

std::string labelValue(const std::string &line)
{
    const std::size_t begin = line.find('"');
    const std::size_t end = line.rfind('"');
    if (begin == std::string::npos || end <= begin)
        return {};
    return line.substr(begin + 1, end - begin - 1);
}

} // namespace

core::AdapterVersion parseAdapterVersion(const std::string &text)
{
    const std::size_t separator = text.rfind('@');
    if (separator == std::string::npos)
        return {};
    return {core::AdapterId(text.substr(0, separator)), text.substr(separator + 1)};
}

EngineReport parseEngineReport(const std::string &text)
{
    EngineReport report;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with("engine_instance_info{"))
            report.instance = labelValue(line);
        else if (line.starts_with("engine_requests_running{"))
            report.running[parseAdapterVersion(labelValue(line))]
                = std::atoi(line.substr(line.rfind(' ') + 1).c_str());
    }
    return report;
}

} // namespace jackdawlead::serving
