#include "gateway/peermessages.h"

#include "core/error.h"
#include "gateway/messageencoding.h"
#include "net/requesttarget.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace jackdawlead::gateway {

namespace {

using nlohmann::json;

long long remainingMilliseconds(core::TimePoint until, core::TimePoint now)
{
    const core::Duration remaining = std::max(core::Duration::zero(), until - now);
    return std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
}

long long roundUpToMilliseconds(core::Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

core::TimePoint timeFromRemaining(core::TimePoint now, const json &value)
{
    return now + std::chrono::milliseconds(value.get<long long>());
}

// One string for all endpoints, because separate fields caused most of a message's cost. Tenths of
// a slot are precise enough and shorter. Ids may hold the separators, so that they are escaped.
std::string encodeLoads(const std::map<core::EndpointId, double> &loads)
{
    std::string text;
    for (const auto &[id, load] : loads)
        absl::StrAppend(&text, net::escaped(id.value()), "=", std::lround(load * 10), ";");
    return text;
}

std::map<core::EndpointId, double> decodeLoads(const std::string &text)
{
    std::map<core::EndpointId, double> loads;
    for (const absl::string_view entry : absl::StrSplit(text, ';', absl::SkipEmpty())) {
        const std::pair<absl::string_view, absl::string_view> parts
            = absl::StrSplit(entry, absl::MaxSplits('=', 1));
        double tenths = 0;
        if (absl::SimpleAtod(parts.second, &tenths))
            loads[core::EndpointId(net::unescaped(std::string(parts.first)))] = tenths / 10;
    }
    return loads;
}

// Two printable characters for each load, in tenths of a slot.
constexpr int loadBase = 90;
constexpr char firstLoadCharacter = '!';

std::string encodeLoadsInIdOrder(const std::vector<double> &loads)
{
    std::string text;
    text.reserve(loads.size() * 2);
    for (const double load : loads) {
        const long tenths = std::clamp(std::lround(load * 10), 0L, long {loadBase * loadBase - 1});
        text.push_back(static_cast<char>(firstLoadCharacter + tenths / loadBase));
        text.push_back(static_cast<char>(firstLoadCharacter + tenths % loadBase));
    }
    return text;
}

std::vector<double> decodeLoadsInIdOrder(const std::string &text)
{
    std::vector<double> loads;
    loads.reserve(text.size() / 2);
    for (std::size_t at = 0; at + 1 < text.size(); at += 2) {
        const int high = text[at] - firstLoadCharacter;
        const int low = text[at + 1] - firstLoadCharacter;
        loads.push_back((high * loadBase + low) / 10.0);
    }
    return loads;
}

/// Groups the adapters by model, so that each model's name is sent once.
json encodeKeys(const std::vector<fleet::AdapterKey> &keys)
{
    json value = json::object();
    for (const fleet::AdapterKey &key : keys)
        value[key.model.value()].push_back(key.adapter.value());
    return value;
}

std::vector<fleet::AdapterKey> decodeKeys(const json &value)
{
    std::vector<fleet::AdapterKey> keys;
    for (const auto &[model, list] : value.items()) {
        for (const json &adapter : list)
            keys.push_back({core::ModelId(model), core::AdapterId(adapter.get<std::string>())});
    }
    return keys;
}

// Flat lists, because the number of values causes most of a message's cost: whether it is a
// snapshot; the start time; name and remaining load time of each model; name, version and remaining
// load time of each adapter, by model; removals.
json encodeChange(const decisions::ContentsChange &change, core::TimePoint now)
{
    const decisions::EndpointContents &contents = change.contents;
    json models = json::array();
    for (const auto &[model, usableAt] : contents.models) {
        models.push_back(model.value());
        models.push_back(remainingMilliseconds(usableAt, now));
    }
    json adapters = json::object();
    for (const auto &[key, adapter] : contents.adapters) {
        json &list = adapters[key.model.value()];
        list.push_back(key.adapter.value());
        list.push_back(adapter.version);
        list.push_back(remainingMilliseconds(adapter.usableAt, now));
    }
    return json::array({change.isSnapshot, contents.startTime.count(), std::move(models),
                        std::move(adapters), encodeKeys(change.removals)});
}

decisions::ContentsChange decodeChange(const json &value, core::TimePoint now)
{
    decisions::ContentsChange change;
    decisions::EndpointContents &contents = change.contents;
    change.isSnapshot = value.at(0).get<bool>();
    contents.startTime = fleet::StartTime(value.at(1).get<std::int64_t>());
    const json &models = value.at(2);
    for (std::size_t at = 0; at < models.size(); at += 2)
        contents.models[core::ModelId(models.at(at).get<std::string>())]
            = timeFromRemaining(now, models.at(at + 1));
    for (const auto &[model, list] : value.at(3).items()) {
        for (std::size_t at = 0; at < list.size(); at += 3)
            contents
                .adapters[{core::ModelId(model), core::AdapterId(list.at(at).get<std::string>())}]
                = {list.at(at + 1).get<int>(), timeFromRemaining(now, list.at(at + 2))};
    }
    change.removals = decodeKeys(value.at(4));
    return change;
}

using Waiting = std::unordered_map<fleet::AdapterKey, decisions::WaitingCount>;

// Flat lists by model: the adapter, the counts of requests in time and late, the remaining time of
// the former.
json encodeWaiting(const Waiting &waiting, core::TimePoint now)
{
    json value = json::object();
    for (const auto &[key, count] : waiting) {
        json &list = value[key.model.value()];
        list.push_back(key.adapter.value());
        list.push_back(count.inTime);
        list.push_back(count.late);
        list.push_back(remainingMilliseconds(count.latestStartDeadline, now));
    }
    return value;
}

Waiting decodeWaiting(const json &value, core::TimePoint now)
{
    Waiting waiting;
    for (const auto &[model, list] : value.items()) {
        for (std::size_t at = 0; at < list.size(); at += 4)
            waiting[{core::ModelId(model), core::AdapterId(list.at(at).get<std::string>())}]
                = {list.at(at + 1).get<int>(), list.at(at + 2).get<int>(),
                   timeFromRemaining(now, list.at(at + 3))};
    }
    return waiting;
}

json encodePinned(const std::set<fleet::PinnedAdapter> &pinned)
{
    json value = json::array();
    for (const fleet::PinnedAdapter &adapter : pinned)
        value.push_back({adapter.key.toString(), adapter.softwareVersion.value()});
    return value;
}

std::set<fleet::PinnedAdapter> decodePinned(const json &value)
{
    std::set<fleet::PinnedAdapter> pinned;
    for (const json &adapter : value)
        pinned.insert({fleet::parseAdapterKey(adapter.at(0).get<std::string>()),
                       core::SoftwareVersion(adapter.at(1).get<std::string>())});
    return pinned;
}

json encodeIds(const std::vector<core::EndpointId> &ids)
{
    json value = json::array();
    for (const core::EndpointId &id : ids)
        value.push_back(id.value());
    return value;
}

std::vector<core::EndpointId> decodeIds(const json &value)
{
    std::vector<core::EndpointId> ids;
    for (const json &id : value)
        ids.push_back(core::EndpointId(id.get<std::string>()));
    return ids;
}

json encodeStartTimes(const std::map<core::EndpointId, fleet::StartTime> &startTimes)
{
    json value = json::object();
    for (const auto &[id, startTime] : startTimes)
        value[id.value()] = startTime.count();
    return value;
}

std::map<core::EndpointId, fleet::StartTime> decodeStartTimes(const json &value)
{
    std::map<core::EndpointId, fleet::StartTime> startTimes;
    for (const auto &[id, startTime] : value.items())
        startTimes[core::EndpointId(id)] = fleet::StartTime(startTime.get<std::int64_t>());
    return startTimes;
}

constexpr double liftedLimit = -1;

// Flat lists: the incarnation, the limit or -1 if it was lifted, the age of the statement.
json encodeLimits(const std::map<core::EndpointId, decisions::EndpointLimit> &limits,
                  core::TimePoint now)
{
    json value = json::object();
    for (const auto &[id, limit] : limits)
        value[id.value()]
            = {limit.incarnation.count(), limit.rate ? limit.rate->perSecond : liftedLimit,
               roundUpToMilliseconds(std::max(core::Duration::zero(), now - limit.statedAt))};
    return value;
}

std::map<core::EndpointId, decisions::EndpointLimit> decodeLimits(const json &value,
                                                                  core::TimePoint now)
{
    std::map<core::EndpointId, decisions::EndpointLimit> limits;
    for (const auto &[id, entry] : value.items()) {
        decisions::EndpointLimit limit;
        limit.incarnation = fleet::StartTime(entry.at(0).get<std::int64_t>());
        const auto perSecond = entry.at(1).get<double>();
        if (std::isfinite(perSecond) && perSecond >= 0)
            limit.rate = fleet::RequestRate {perSecond};
        limit.statedAt = now - std::chrono::milliseconds(entry.at(2).get<std::uint32_t>());
        limits[core::EndpointId(id)] = limit;
    }
    return limits;
}

absl::Status malformedMessage(const json::exception &error)
{
    return core::makeError(absl::StatusCode::kInvalidArgument, "read peer message", "peer",
                           error.what());
}

} // namespace

EndpointsDigest digestOf(const std::map<core::EndpointId, fleet::Endpoint> &endpoints)
{
    std::string ids;
    for (const auto &[id, endpoint] : endpoints)
        absl::StrAppend(&ids, id.value(), "\n");
    return EndpointsDigest {XXH3_64bits(ids.data(), ids.size())};
}

std::string encode(const PeerReport &report, core::TimePoint now)
{
    json demand = json::object();
    for (const auto &[key, count] : report.demand)
        demand[key.toString()] = count;
    json placementMisses = json::object();
    for (const auto &[id, keys] : report.placementMisses) {
        for (const fleet::AdapterKey &key : keys)
            placementMisses[id.value()].push_back(key.toString());
    }
    json inUse = json::object();
    for (const auto &[id, keys] : report.inUse)
        inUse[id.value()] = encodeKeys(keys);
    json permitDemand = json::object();
    for (const auto &[id, wanted] : report.permitDemand)
        permitDemand[id.value()] = {wanted.waiting, wanted.preferred};
    json message {{"host", report.host.value()},
                  {"region", report.region.value()},
                  {"domain", report.domain.value()},
                  {"processorShare", report.availableCores},
                  {"address", report.peerAddress},
                  {"isInTouch", report.isStoreReachable},
                  {"load", encodeLoads(report.load)},
                  {"inUse", inUse},
                  {"demand", demand},
                  {"contradictions", placementMisses},
                  {"unreachable", encodeIds(report.unreachable)},
                  {"reachesEndpoints", report.sendsForOthers},
                  {"resting", encodeIds(report.endpointsInBackoff)},
                  {"leaving", encodeStartTimes(report.leaving)},
                  {"waiting", encodeWaiting(report.waiting, now)},
                  {"pinned", encodePinned(report.pinned)},
                  {"limits", encodeLimits(report.limits, now)},
                  {"permitDemand", permitDemand},
                  {"endpoints", static_cast<std::uint64_t>(report.endpoints)},
                  {"revision", report.knownRevision},
                  {"token", report.token.value()},
                  {"wantsView", report.isViewRequested}};
    if (report.understandsCustomers)
        message["understandsCustomers"] = true;
    encodeInto(message, report.crashes);
    customers::encodeInto(message, report.quota);
    encodeInto(message, report.streams);
    return packMessage(message);
}

std::string encode(const PeerView &view, core::TimePoint now)
{
    json contents = json::object();
    for (const auto &[id, entry] : view.contents)
        contents[id.value()] = encodeChange(entry, now);
    json grants = json::object();
    for (const auto &[id, grant] : view.grants)
        grants[id.value()] = {grant.count, grant.waitingElsewhere};
    json message {{"isCoordinator", view.isCoordinator},
                  {"token", view.token.value()},
                  {"since", view.since},
                  {"revision", view.revision},
                  {"contents", contents},
                  {"hasLoad", view.hasLoad},
                  {"load", encodeLoads(view.load)},
                  {"loads", encodeLoadsInIdOrder(view.loadsInIdOrder)},
                  {"endpoints", static_cast<std::uint64_t>(view.endpoints)},
                  {"daemons", view.daemonCount},
                  {"isCounted", view.isCounted},
                  {"reportPeriod", roundUpToMilliseconds(view.reportPeriod)},
                  {"demandPause", roundUpToMilliseconds(view.demandPause)},
                  {"leaving", encodeStartTimes(view.leaving)},
                  {"limits", encodeLimits(view.limits, now)},
                  {"grants", grants},
                  {"issuesPermits", view.areIssuingPermits},
                  {"relay", view.relayAddress},
                  {"spare", view.spareRelayAddress}};
    if (view.forwarders)
        message["forwarders"] = *view.forwarders;
    encodeInto(message, view.crashes);
    customers::encodeInto(message, view.quota);
    encodeInto(message, view.streams);
    return packMessage(message);
}

absl::StatusOr<PeerReport> decodePeerReport(const std::string &text, core::TimePoint now)
{
    try {
        const json value = unpackMessage(text);
        PeerReport report;
        report.host = core::HostId(value.at("host").get<std::string>());
        report.region = core::RegionId(value.at("region").get<std::string>());
        report.domain = core::FailureDomainId(value.at("domain").get<std::string>());
        report.availableCores = value.at("processorShare").get<double>();
        report.peerAddress = value.at("address").get<std::string>();
        report.isStoreReachable = value.at("isInTouch").get<bool>();
        report.load = decodeLoads(value.at("load").get<std::string>());
        for (const auto &[id, keys] : value.at("inUse").items())
            report.inUse[core::EndpointId(id)] = decodeKeys(keys);
        for (const auto &[key, count] : value.at("demand").items())
            report.demand[fleet::parseAdapterKey(key)] = count.get<int>();
        for (const auto &[id, keys] : value.at("contradictions").items()) {
            for (const json &key : keys)
                report.placementMisses[core::EndpointId(id)].insert(
                    fleet::parseAdapterKey(key.get<std::string>()));
        }
        report.unreachable = decodeIds(value.at("unreachable"));
        report.endpointsInBackoff = decodeIds(value.at("resting"));
        report.leaving = decodeStartTimes(value.at("leaving"));
        report.crashes = decodeCrashNews(value);
        report.quota = customers::decodeQuotaReport(value);
        report.streams = decodeStreamReports(value);
        report.waiting = decodeWaiting(value.at("waiting"), now);
        // Daemons of the previous release do not send these.
        report.pinned = decodePinned(value.value("pinned", json::array()));
        report.limits = decodeLimits(value.value("limits", json::object()), now);
        const json permitDemand = value.value("permitDemand", json::object());
        for (const auto &[id, wanted] : permitDemand.items())
            report.permitDemand[core::EndpointId(id)]
                = {wanted.at(0).get<int>(), wanted.at(1).get<int>()};
        report.endpoints = EndpointsDigest {value.at("endpoints").get<std::uint64_t>()};
        report.knownRevision = value.at("revision").get<std::uint64_t>();
        report.token = core::FencingToken(value.at("token").get<std::uint64_t>());
        report.isViewRequested = value.value("wantsView", true);
        // A daemon that does not state it is of a release that rejects requests of other daemons.
        report.sendsForOthers = value.value("reachesEndpoints", false);
        report.understandsCustomers = value.value("understandsCustomers", false);
        return report;
    } catch (const json::exception &error) {
        return malformedMessage(error);
    }
}

absl::StatusOr<PeerView> decodePeerView(const std::string &text, core::TimePoint now)
{
    try {
        const json value = unpackMessage(text);
        PeerView view;
        view.isCoordinator = value.at("isCoordinator").get<bool>();
        view.token = core::FencingToken(value.at("token").get<std::uint64_t>());
        view.since = value.at("since").get<std::uint64_t>();
        view.revision = value.at("revision").get<std::uint64_t>();
        for (const auto &[id, contents] : value.at("contents").items())
            view.contents[core::EndpointId(id)] = decodeChange(contents, now);
        view.hasLoad = value.at("hasLoad").get<bool>();
        view.load = decodeLoads(value.at("load").get<std::string>());
        view.loadsInIdOrder = decodeLoadsInIdOrder(value.at("loads").get<std::string>());
        view.endpoints = EndpointsDigest {value.at("endpoints").get<std::uint64_t>()};
        view.crashes = decodeFleetCrashNews(value);
        view.quota = customers::decodeQuotaAnswer(value);
        view.streams = decodeStreamView(value);
        view.daemonCount = value.at("daemons").get<int>();
        // Daemons of earlier releases do not send these. A count that is too low would make each
        // daemon's share of the slack of repeated sends too large.
        view.isCounted = value.value("isCounted", false);
        view.reportPeriod = std::chrono::milliseconds(value.value("reportPeriod", 0LL));
        view.demandPause = std::chrono::milliseconds(value.value("demandPause", 0LL));
        view.limits = decodeLimits(value.value("limits", json::object()), now);
        const json grants = value.value("grants", json::object());
        for (const auto &[id, grant] : grants.items())
            view.grants[core::EndpointId(id)] = {grant.at(0).get<int>(), grant.at(1).get<int>()};
        view.areIssuingPermits = value.value("issuesPermits", false);
        view.leaving = decodeStartTimes(value.at("leaving"));
        view.relayAddress = value.at("relay").get<std::string>();
        view.spareRelayAddress = value.at("spare").get<std::string>();
        if (const auto forwarders = value.find("forwarders"); forwarders != value.end())
            view.forwarders = forwarders->get<std::vector<std::string>>();
        return view;
    } catch (const json::exception &error) {
        return malformedMessage(error);
    }
}

} // namespace jackdawlead::gateway
