#include "serving/peertask.h"

#include "core/error.h"
#include "observability/log.h"
#include "serving/factcodec.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <set>
#include <utility>

namespace jackdawlead::serving {

namespace {

using decisions::MemberState;
using nlohmann::json;

constexpr int ticksPerPeriod = 10;

// Wall time is used only here: a process on a host without a disk has no other number that is
// higher than that of the process before it.
decisions::Incarnation firstIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    return decisions::Incarnation(static_cast<std::uint64_t>(seconds));
}

decisions::MembershipLimits limitsOf(const config::Settings &settings)
{
    decisions::MembershipLimits limits;
    limits.probePeriod = settings.probePeriod;
    limits.directTimeout = settings.probePeriod * 2 / 5;
    limits.pushPeriod = settings.probePeriod / 2;
    return limits;
}

} // namespace

PeerTask::PeerTask(Context &context, Subscribers subscribers)
    : m_context(context)
    , m_subscribers(std::move(subscribers))
    , m_client(context)
    , m_membership(context.settings.host, firstIncarnation(), limitsOf(context.settings), {},
                   std::random_device {}())
{
    bindMethods();
}

void PeerTask::bindMethods()
{
    m_server.bind(peermethods::exchange,
                  [this](const json &params) { return answerExchange(params); });
    m_server.bind(peermethods::probeFor,
                  [this](const json &params) { return answerProbeFor(params); });
    m_server.bind(peermethods::probed, [this](const json &params) {
        m_membership.probeAnswered(
            decisions::ProbeNumber(params.at("number").get<std::uint64_t>()));
        return json::object();
    });
}

void PeerTask::start()
{
    m_tick = m_context.timers.every(m_context.settings.probePeriod / ticksPerPeriod,
                                    [this] { tick(); });
}

void PeerTask::fleetChanged(FleetTask::ViewPtr listed)
{
    m_listed = std::move(listed);
    std::set<core::HostId> hosts;
    for (const auto &[host, entry] : m_listed->daemons)
        hosts.insert(host);
    m_membership.setHosts(std::move(hosts));
    publish();
}

void PeerTask::tick()
{
    for (const decisions::MembershipCommand &command : m_membership.tick(m_context.timers.now()))
        std::visit([this](const auto &typed) { carryOut(typed); }, command);
    publish();
}

void PeerTask::carryOut(const decisions::SendProbe &command)
{
    exchange(command.target,
             [this, number = command.number] { m_membership.probeAnswered(number); });
}

void PeerTask::carryOut(const decisions::SendIndirectProbe &command)
{
    const auto via = addressOf(command.via);
    if (!via)
        return;
    m_client.call(*via, peermethods::probeFor,
                  {{"from", m_context.settings.host.value()},
                   {"target", command.target.value()},
                   {"number", command.number.value()}},
                  m_context.settings.probePeriod, [](const auto &) {});
}

void PeerTask::carryOut(const decisions::PushFacts &command)
{
    exchange(command.target, [] {});
}

json PeerTask::message(const core::HostId &peer)
{
    return {{"from", m_context.settings.host.value()},
            {"generation", m_generation.value()},
            {"facts", factsToJson(m_membership.takeOutgoingFacts(peer))}};
}

void PeerTask::exchange(const core::HostId &peer, std::function<void()> answered)
{
    const auto address = addressOf(peer);
    if (!address)
        return;
    m_client.call(*address, peermethods::exchange, message(peer), m_context.settings.probePeriod,
                  [this, peer, answered = std::move(answered)](const absl::StatusOr<json> &reply) {
                      if (!reply.ok())
                          return;
                      // Any well-formed answer shows that the peer is alive.
                      answered();
                      const absl::Status status = messageReceived(*reply, peer);
                      if (!status.ok())
                          observability::logError(observability::LogLevel::Warn, status);
                  });
}

absl::Status PeerTask::messageReceived(const json &message, const core::HostId &from)
{
    if (!message.contains("generation") || !message["generation"].is_number_unsigned()
        || !message.contains("facts"))
        return core::makeError(absl::StatusCode::kInvalidArgument, "exchange", from.value(),
                               "generation or facts are missing");
    const auto facts = factsFromJson(message["facts"]);
    if (!facts.ok())
        return facts.status();
    for (const decisions::Fact &fact : m_membership.mergeFacts(*facts, m_context.timers.now()))
        m_subscribers.mergeFact(fact);
    const core::Generation generation(message["generation"].get<std::uint64_t>());
    if (generation > m_generation)
        m_subscribers.generationSeen(generation, from);
    publish();
    return absl::OkStatus();
}

absl::StatusOr<json> PeerTask::answerExchange(const json &params)
{
    const core::HostId from(params.at("from").get<std::string>());
    if (absl::Status status = messageReceived(params, from); !status.ok())
        return status;
    return message(from);
}

absl::StatusOr<json> PeerTask::answerProbeFor(const json &params)
{
    const core::HostId from(params.at("from").get<std::string>());
    const core::HostId target(params.at("target").get<std::string>());
    const auto number = params.at("number").get<std::uint64_t>();
    exchange(target, [this, from, number] {
        if (const auto address = addressOf(from))
            m_client.call(*address, peermethods::probed, {{"number", number}},
                          m_context.settings.probePeriod, [](const auto &) {});
    });
    return json::object();
}

void PeerTask::announceGeneration(core::Generation generation)
{
    m_generation = generation;
    announce({decisions::FactKind::Generation,
              {},
              decisions::FactVersion(generation.value()),
              m_context.settings.host.value()},
             true);
}

void PeerTask::announce(const decisions::Fact &fact, bool isUrgent)
{
    m_membership.announce(fact, isUrgent);
}

void PeerTask::announceLeaving()
{
    m_membership.leave();
    publish();
}

std::optional<net::Address> PeerTask::addressOf(const core::HostId &host) const
{
    if (!m_listed)
        return std::nullopt;
    const auto entry = m_listed->daemons.find(host);
    if (entry == m_listed->daemons.end())
        return std::nullopt;
    return entry->second.address;
}

std::vector<core::HostId> PeerTask::usableInRegion() const
{
    std::vector<core::HostId> hosts;
    if (!m_listed)
        return hosts;
    for (const auto &[host, entry] : m_listed->daemons)
        if (host != m_context.settings.host && entry.region == m_context.settings.region
            && m_membership.isUsable(host))
            hosts.push_back(host);
    return hosts;
}

void PeerTask::publish()
{
    if (!m_listed)
        return;
    std::map<core::HostId, MemberState> departed;
    for (const auto &[host, entry] : m_listed->daemons)
        if (const MemberState state = m_membership.stateOf(host); state >= MemberState::Leaving)
            departed.emplace(host, state);
    // Compared before the view is copied, since this runs at every tick and message.
    if (m_listed == m_publishedFrom && departed == m_departed)
        return;
    for (const auto &[host, state] : departed)
        if (!m_departed.contains(host))
            observability::log(
                {.step = "membership",
                 .message = state == MemberState::Dead ? "daemon removed" : "daemon is leaving",
                 .peer = host.value()});
    auto view = std::make_shared<FleetView>(*m_listed);
    for (const auto &[host, state] : departed) {
        if (state == MemberState::Dead)
            view->daemons.erase(host);
        else
            view->daemons.at(host).isLeaving = true;
    }
    m_publishedFrom = m_listed;
    m_departed = std::move(departed);
    m_subscribers.viewChanged(std::move(view));
}

} // namespace jackdawlead::serving
