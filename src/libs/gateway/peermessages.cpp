#include "gateway/peermessages.h"

#include "core/error.h"

#include <algorithm>
#include <cmath>

namespace jackdawlead::gateway {

namespace {

using nlohmann::json;

long long leftMilliseconds(core::TimePoint until, core::TimePoint now)
{
    const core::Duration left = std::max(core::Duration::zero(), until - now);
    return std::chrono::ceil<std::chrono::milliseconds>(left).count();
}

core::TimePoint inMilliseconds(core::TimePoint now, const json &value)
{
    return now + std::chrono::milliseconds(value.get<long long>());
}

json encodeLoads(const std::map<core::EndpointId, double> &loads)
{
    json value = json::object();
    // Tenths of a slot are enough, and shorter to write.
    for (const auto &[id, load] : loads)
        value[id.value()] = std::lround(load * 10);
    return value;
}

std::map<core::EndpointId, double> decodeLoads(const json &value)
{
    std::map<core::EndpointId, double> loads;
    for (const auto &[id, tenths] : value.items())
        loads[core::EndpointId(id)] = tenths.get<double>() / 10;
    return loads;
}

json encodeChange(const decisions::ContentsChange &change, core::TimePoint now)
{
    const decisions::EndpointContents &contents = change.contents;
    json models = json::object();
    for (const auto &[model, usableAt] : contents.models)
        models[model.value()] = leftMilliseconds(usableAt, now);
    json adapters = json::object();
    for (const auto &[key, adapter] : contents.adapters)
        adapters[key.toString()] = {adapter.version, leftMilliseconds(adapter.usableAt, now)};
    json removals = json::array();
    for (const fleet::AdapterKey &key : change.removals)
        removals.push_back(key.toString());
    return {{"whole", change.isWhole},
            {"born", contents.born.count()},
            {"models", models},
            {"adapters", adapters},
            {"removed", removals}};
}

decisions::ContentsChange decodeChange(const json &value, core::TimePoint now)
{
    decisions::ContentsChange change;
    decisions::EndpointContents &contents = change.contents;
    change.isWhole = value.at("whole").get<bool>();
    contents.born = fleet::BirthTime(value.at("born").get<std::int64_t>());
    for (const auto &[model, left] : value.at("models").items())
        contents.models[core::ModelId(model)] = inMilliseconds(now, left);
    for (const auto &[key, adapter] : value.at("adapters").items())
        contents.adapters[fleet::adapterKeyFrom(key)]
            = {adapter.at(0).get<int>(), inMilliseconds(now, adapter.at(1))};
    for (const json &key : value.at("removed"))
        change.removals.push_back(fleet::adapterKeyFrom(key.get<std::string>()));
    return change;
}

json encodeCrashes(const std::vector<decisions::CrashFact> &facts)
{
    json value = json::array();
    for (const decisions::CrashFact &fact : facts)
        value.push_back({fact.fingerprint.value(), fact.death.value()});
    return value;
}

std::vector<decisions::CrashFact> decodeCrashes(const json &value)
{
    std::vector<decisions::CrashFact> facts;
    for (const json &fact : value)
        facts.push_back({decisions::Fingerprint(fact.at(0).get<std::string>()),
                         decisions::DeathId(fact.at(1).get<std::string>())});
    return facts;
}

absl::Status malformed(const json::exception &error)
{
    return core::makeError(absl::StatusCode::kInvalidArgument, "read peer message", "peer",
                           error.what());
}

} // namespace

json encode(const PeerReport &report)
{
    json demand = json::object();
    for (const auto &[key, count] : report.demand)
        demand[key.toString()] = count;
    json contradictions = json::object();
    for (const auto &[id, key] : report.contradictions)
        contradictions[id.value()] = key.toString();
    json unreachable = json::array();
    for (const core::EndpointId &id : report.unreachable)
        unreachable.push_back(id.value());
    return {{"host", report.host.value()},
            {"region", report.region.value()},
            {"domain", report.domain.value()},
            {"processorShare", report.processorShare},
            {"address", report.peerAddress},
            {"load", encodeLoads(report.load)},
            {"demand", demand},
            {"contradictions", contradictions},
            {"unreachable", unreachable},
            {"crashes", encodeCrashes(report.crashes)},
            {"revision", report.knownRevision},
            {"token", report.token.value()}};
}

json encode(const PeerView &view, core::TimePoint now)
{
    json contents = json::object();
    for (const auto &[id, entry] : view.contents)
        contents[id.value()] = encodeChange(entry, now);
    return {{"isCoordinator", view.isCoordinator},
            {"token", view.token.value()},
            {"since", view.since},
            {"revision", view.revision},
            {"contents", contents},
            {"load", encodeLoads(view.load)},
            {"daemons", view.daemons},
            {"relay", view.relayAddress},
            {"crashes", encodeCrashes(view.crashes)}};
}

absl::StatusOr<PeerReport> decodePeerReport(const std::string &text)
{
    try {
        const json value = json::parse(text);
        PeerReport report;
        report.host = core::HostId(value.at("host").get<std::string>());
        report.region = core::RegionId(value.at("region").get<std::string>());
        report.domain = core::FailureDomainId(value.at("domain").get<std::string>());
        report.processorShare = value.at("processorShare").get<double>();
        report.peerAddress = value.at("address").get<std::string>();
        report.load = decodeLoads(value.at("load"));
        for (const auto &[key, count] : value.at("demand").items())
            report.demand[fleet::adapterKeyFrom(key)] = count.get<int>();
        for (const auto &[id, key] : value.at("contradictions").items())
            report.contradictions[core::EndpointId(id)]
                = fleet::adapterKeyFrom(key.get<std::string>());
        for (const json &id : value.at("unreachable"))
            report.unreachable.push_back(core::EndpointId(id.get<std::string>()));
        report.crashes = decodeCrashes(value.at("crashes"));
        report.knownRevision = value.at("revision").get<std::uint64_t>();
        report.token = core::FencingToken(value.at("token").get<std::uint64_t>());
        return report;
    } catch (const json::exception &error) {
        return malformed(error);
    }
}

absl::StatusOr<PeerView> decodePeerView(const std::string &text, core::TimePoint now)
{
    try {
        const json value = json::parse(text);
        PeerView view;
        view.isCoordinator = value.at("isCoordinator").get<bool>();
        view.token = core::FencingToken(value.at("token").get<std::uint64_t>());
        view.since = value.at("since").get<std::uint64_t>();
        view.revision = value.at("revision").get<std::uint64_t>();
        for (const auto &[id, contents] : value.at("contents").items())
            view.contents[core::EndpointId(id)] = decodeChange(contents, now);
        view.load = decodeLoads(value.at("load"));
        view.crashes = decodeCrashes(value.at("crashes"));
        view.daemons = value.at("daemons").get<int>();
        view.relayAddress = value.at("relay").get<std::string>();
        return view;
    } catch (const json::exception &error) {
        return malformed(error);
    }
}

} // namespace jackdawlead::gateway
