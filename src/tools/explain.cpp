#include "explain.h"

#include <algorithm>
#include <istream>
#include <set>
#include <sstream>

namespace jackdawlead::tools {

namespace {

using nlohmann::json;

// Steps with log lines that give the cause of a late, repeated, refused or failed request; final
// outcomes come last.
constexpr const char *causeSteps[] = {"wait for permit",
                                      "blocked part",
                                      "resume",
                                      "late",
                                      "silent endpoint",
                                      "drop",
                                      "continue",
                                      "send again",
                                      "give up",
                                      "caller left",
                                      "refuse",
                                      "abort stream",
                                      "fail"};
// Steps with log lines that concern an endpoint or a daemon, independent of a request.
constexpr const char *contextSteps[]
    = {"endpoint",  "part of prompts", "request limit", "customer limit", "lease for orders",
       "store era", "configuration",   "stop",          "start"};
// A crash is detected within a second or two of the first broken connection.
constexpr int contextSeconds = 3;

std::string field(const json &line, const char *name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

template <typename Names> bool isOneOf(const std::string &step, const Names &names)
{
    return std::ranges::find(names, step) != std::end(names);
}

// Returns the second of the day. Midnight is not handled, because the lines of one request extend
// past it by no more than the deadline of the request.
int secondOfDay(const std::string &time)
{
    constexpr std::size_t clockOffset = 11; // Follows YYYY-MM-DDT.
    if (time.size() < clockOffset + 8)
        return 0;
    const auto twoDigits
        = [&time](std::size_t at) { return std::atoi(time.substr(at, 2).c_str()); };
    return twoDigits(clockOffset) * 3600 + twoDigits(clockOffset + 3) * 60
        + twoDigits(clockOffset + 6);
}

bool isNearEvents(const json &line, const std::vector<json> &events)
{
    const int at = secondOfDay(field(line, "time"));
    return std::ranges::any_of(events, [at](const json &event) {
        return std::abs(secondOfDay(field(event, "time")) - at) <= contextSeconds;
    });
}

} // namespace

std::vector<json> readLogLines(std::istream &stream)
{
    std::vector<json> lines;
    for (std::string text; std::getline(stream, text);) {
        const std::size_t begin = text.find('{');
        if (begin == std::string::npos)
            continue;
        json line = json::parse(text.substr(begin), nullptr, false);
        if (line.is_object())
            lines.push_back(std::move(line));
    }
    return lines;
}

RequestHistory explainRequest(const std::string &requestId, std::vector<json> lines)
{
    std::ranges::stable_sort(lines, {}, [](const json &line) { return field(line, "time"); });
    RequestHistory history;
    std::set<std::string> endpoints;
    for (const json &line : lines) {
        if (field(line, "request") != requestId)
            continue;
        history.events.push_back(line);
        if (const std::string peer = field(line, "peer"); !peer.empty())
            endpoints.insert(peer);
        if (isOneOf(field(line, "step"), causeSteps))
            history.cause = field(line, "step") + ": " + field(line, "message");
    }
    for (const json &line : lines) {
        const std::string peer = field(line, "peer");
        const bool isRelated = peer.empty() || endpoints.contains(peer);
        if (isRelated && isOneOf(field(line, "step"), contextSteps)
            && isNearEvents(line, history.events))
            history.contextEvents.push_back(line);
    }
    return history;
}

std::string historyText(const RequestHistory &history)
{
    std::ostringstream text;
    const auto print = [&text](const json &line) {
        text << field(line, "time") << "  " << field(line, "host") << "  " << field(line, "step");
        if (const std::string peer = field(line, "peer"); !peer.empty())
            text << " [" << peer << "]";
        text << ": " << field(line, "message") << "\n";
    };
    for (const json &line : history.events)
        print(line);
    if (!history.contextEvents.empty())
        text << "around it:\n";
    for (const json &line : history.contextEvents)
        print(line);
    if (history.events.empty())
        text << "no line names this request: it succeeded, or its lines were suppressed\n";
    else
        text << "cause: " << (history.cause.empty() ? "none was logged" : history.cause) << "\n";
    return text.str();
}

} // namespace jackdawlead::tools
