#include "gateway/crashnews.h"

#include <string>

namespace jackdawlead::gateway {

namespace {

using nlohmann::json;

json encodeCrashes(const std::vector<decisions::CrashReport> &crashes)
{
    json value = json::array();
    for (const decisions::CrashReport &report : crashes)
        value.push_back({report.fingerprint.value(), report.crash.value()});
    return value;
}

std::vector<decisions::CrashReport> decodeCrashes(const json &value)
{
    std::vector<decisions::CrashReport> crashes;
    for (const json &crash : value)
        crashes.push_back({decisions::Fingerprint(crash.at(0).get<std::string>()),
                           decisions::CrashId(crash.at(1).get<std::string>())});
    return crashes;
}

template <typename Id> json encodeIds(const std::vector<Id> &ids)
{
    json value = json::array();
    for (const Id &id : ids)
        value.push_back(id.value());
    return value;
}

template <typename Id> std::vector<Id> decodeIds(const json &value)
{
    std::vector<Id> ids;
    for (const json &id : value)
        ids.push_back(Id(id.get<std::string>()));
    return ids;
}

// Lists: the crash, and for each request its fingerprint and parts.
json encodeEvidence(const std::vector<decisions::CrashEvidence> &list)
{
    json value = json::array();
    for (const decisions::CrashEvidence &evidence : list) {
        json requests = json::array();
        for (const decisions::RequestIdentity &request : evidence.requests)
            requests.push_back(
                json::array({request.fingerprint.value(), encodeIds(request.parts)}));
        value.push_back(json::array({evidence.crash.value(), std::move(requests)}));
    }
    return value;
}

std::vector<decisions::CrashEvidence> decodeEvidence(const json &value)
{
    std::vector<decisions::CrashEvidence> list;
    for (const json &entry : value) {
        decisions::CrashEvidence evidence;
        evidence.crash = decisions::CrashId(entry.at(0).get<std::string>());
        for (const json &request : entry.at(1))
            evidence.requests.push_back({decisions::Fingerprint(request.at(0).get<std::string>()),
                                         decodeIds<core::PromptPartId>(request.at(1))});
        list.push_back(std::move(evidence));
    }
    return list;
}

} // namespace

json encodeStates(const std::vector<decisions::PartState> &states)
{
    json value = json::array();
    for (const decisions::PartState &state : states)
        value.push_back({state.part.value(), state.version, state.isBlocked, state.crashes,
                         std::chrono::duration_cast<std::chrono::seconds>(state.age).count()});
    return value;
}

std::vector<decisions::PartState> decodeStates(const json &value)
{
    std::vector<decisions::PartState> states;
    // Daemons of earlier versions state no age.
    constexpr std::size_t ageIndex = 4;
    for (const json &state : value) {
        const auto age = state.size() > ageIndex ? state.at(ageIndex).get<std::uint32_t>() : 0;
        states.push_back({core::PromptPartId(state.at(0).get<std::string>()),
                          state.at(1).get<std::uint32_t>(), state.at(2).get<bool>(),
                          state.at(3).get<std::size_t>(), std::chrono::seconds(age)});
    }
    return states;
}

void encodeInto(json &message, const CrashNews &news)
{
    message["crashes"] = encodeCrashes(news.crashes);
    message["crashEvidence"] = encodeEvidence(news.evidence);
    message["soundParts"] = encodeIds(news.soundParts);
    message["requestedParts"] = encodeIds(news.requestedParts);
    message["partStates"] = encodeStates(news.states);
}

void encodeInto(json &message, const FleetCrashNews &news)
{
    message["crashes"] = encodeCrashes(news.crashes);
    message["explainedCrashes"] = encodeIds(news.explainedCrashes);
    message["suspectParts"] = encodeIds(news.suspects);
    message["partStates"] = encodeStates(news.states);
}

CrashNews decodeCrashNews(const json &message)
{
    const json none = json::array();
    CrashNews news;
    news.crashes = decodeCrashes(message.at("crashes"));
    news.evidence = decodeEvidence(message.value("crashEvidence", none));
    news.soundParts = decodeIds<core::PromptPartId>(message.value("soundParts", none));
    news.requestedParts = decodeIds<core::PromptPartId>(message.value("requestedParts", none));
    news.states = decodeStates(message.value("partStates", none));
    return news;
}

FleetCrashNews decodeFleetCrashNews(const json &message)
{
    const json none = json::array();
    FleetCrashNews news;
    news.crashes = decodeCrashes(message.at("crashes"));
    news.explainedCrashes = decodeIds<decisions::CrashId>(message.value("explainedCrashes", none));
    news.suspects = decodeIds<core::PromptPartId>(message.value("suspectParts", none));
    news.states = decodeStates(message.value("partStates", none));
    return news;
}

} // namespace jackdawlead::gateway
