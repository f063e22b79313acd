#include "observability/logline.h"

#include <nlohmann/json.hpp>

namespace jackdawlead::observability {

namespace {

std::string jsonFields(const LogEvent &event, const std::string &host)
{
    nlohmann::ordered_json line;
    line["host"] = host;
    line["step"] = event.step;
    if (!event.peer.empty())
        line["peer"] = event.peer;
    if (!event.request.empty())
        line["request"] = event.request;
    line["message"] = event.message;
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return text.substr(1);
}

} // namespace

LogLine::LogLine(const std::string &logger, log4cplus::LogLevel level, const LogEvent &event,
                 const std::string &host)
    : InternalLoggingEvent(logger, level, std::string(), nullptr, -1)
    , m_event(event)
    , m_host(host)
{ }

const std::string &LogLine::getMessage() const
{
    if (!m_json)
        m_json = jsonFields(m_event, m_host);
    return *m_json;
}

} // namespace jackdawlead::observability
