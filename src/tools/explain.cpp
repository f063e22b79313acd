#include "explain.h"

#include <algorithm>
#include <istream>
#include <set>
#include <sstream>

namespace jackdawlead::tools {

namespace {

using nlohmann::json;

// Steps whose line tells why a request did not end well, the ones that decide last.
constexpr const char *causeSteps[] = {"late", "send again", "give up", "refuse", "fail"};
// Steps that tell about an endpoint or a daemon, whatever the request.
constexpr const char *surroundingSteps[] = {"endpoint", "lease for orders", "stop", "start"};
// A crash is noticed within a second or two of the first broken connection.
constexpr int secondsAround = 3;

std::string field(const json &line, const char *name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

template <typename Names> bool isOneOf(const std::string &step, const Names &names)
{
    return std::ranges::find(names, step) != std::end(names);
}

// Seconds of the day; lines of one request do not span midnight by more than its deadline.
int secondOfDay(const std::string &time)
{
    constexpr std::size_t clockAt = 11; // behind YYYY-MM-DDT
    if (time.size() < clockAt + 8)
        return 0;
    const auto two = [&time](std::size_t at) { return std::atoi(time.substr(at, 2).c_str()); };
    return two(clockAt) * 3600 + two(clockAt + 3) * 60 + two(clockAt + 6);
}

bool isAround(const json &line, const std::vector<json> &events)
{
    const int at = secondOfDay(field(line, "time"));
    return std::ranges::any_of(events, [at](const json &event) {
        return std::abs(secondOfDay(field(event, "time")) - at) <= secondsAround;
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
        if (isRelated && isOneOf(field(line, "step"), surroundingSteps)
            && isAround(line, history.events))
            history.surroundings.push_back(line);
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
    if (!history.surroundings.empty())
        text << "around it:\n";
    for (const json &line : history.surroundings)
        print(line);
    if (history.events.empty())
        text << "no line names this request: it succeeded, or its lines were left out\n";
    else
        text << "cause: " << (history.cause.empty() ? "none was noted" : history.cause) << "\n";
    return text.str();
}

} // namespace jackdawlead::tools
