#include "serving/factcodec.h"

#include "core/error.h"

#include <string>

namespace jackdawlead::serving {

namespace {

using nlohmann::json;

// Far above what a daemon sends in one message; bounds the work that a faulty peer causes.
constexpr std::size_t maxFactsPerMessage = 64;

bool isFact(const json &entry)
{
    return entry.is_array() && entry.size() == 4 && entry[0].is_number_unsigned()
        && entry[0].get<std::uint64_t>() < decisions::factKindCount && entry[1].is_string()
        && entry[2].is_number_unsigned() && entry[3].is_string();
}

absl::Status fault(const std::string &message)
{
    return core::makeError(absl::StatusCode::kInvalidArgument, "decode", "facts", message);
}

} // namespace

json factsToJson(const std::vector<decisions::Fact> &facts)
{
    json list = json::array();
    for (const decisions::Fact &fact : facts)
        list.push_back({static_cast<unsigned>(fact.kind), fact.subject.value(),
                        fact.version.value(), fact.value});
    return list;
}

absl::StatusOr<std::vector<decisions::Fact>> factsFromJson(const json &source)
{
    if (!source.is_array())
        return fault("facts must be an array");
    if (source.size() > maxFactsPerMessage)
        return fault(std::to_string(source.size()) + " facts, at most "
                     + std::to_string(maxFactsPerMessage) + " are allowed");
    std::vector<decisions::Fact> facts;
    for (const json &entry : source) {
        if (!isFact(entry))
            return fault("facts[" + std::to_string(facts.size())
                         + "] must be [kind, subject, version, value]");
        facts.push_back({static_cast<decisions::FactKind>(entry[0].get<std::uint64_t>()),
                         decisions::FactSubject(entry[1].get<std::string>()),
                         decisions::FactVersion(entry[2].get<std::uint64_t>()),
                         entry[3].get<std::string>()});
    }
    return facts;
}

} // namespace jackdawlead::serving
