#include "gateway/streamcollector.h"

#include "decisions/streams/enginetimes.h"
#include "decisions/streams/streamprediction.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// Three of the slowest reports.
constexpr core::Duration daemonRetention = std::chrono::milliseconds(2250);
// Daemons with streams at an endpoint state its pause with each report; one that turned slow would
// else be hidden by what they stated before.
constexpr core::Duration pauseRetention = std::chrono::seconds(1);
// An endpoint without streams may have recovered; it gets some again after this time.
constexpr core::Duration medianRetention = std::chrono::seconds(10);

core::RegionId regionOf(const core::FailureDomainId &domain,
                        const StreamCollector::Regions &regions)
{
    const auto found = regions.find(domain);
    return found == regions.end() ? core::RegionId() : found->second;
}

double timeFactorOf(core::Duration pause)
{
    return core::toSeconds(pause)
        / core::toSeconds(decisions::streams::EngineTimes::referencePause);
}

} // namespace

void StreamCollector::addReport(const core::HostId &host, const core::FailureDomainId &domain,
                                const std::optional<StreamReports> &streams, core::TimePoint now)
{
    if (!streams) {
        m_daemons.erase(host);
        return;
    }
    Daemon &daemon = m_daemons[host];
    daemon.domain = domain;
    daemon.reportedAt = now;
    daemon.reports = *streams;
    for (const auto &[id, report] : *streams) {
        if (report.pause)
            daemon.pauses[id] = {*report.pause, now};
    }
}

void StreamCollector::update(const Endpoints &endpoints, const Regions &regions,
                             core::TimePoint now)
{
    std::erase_if(m_daemons, [now](const auto &entry) {
        return now - entry.second.reportedAt > daemonRetention;
    });
    if (m_daemons.empty())
        return;
    m_totals.clear();
    for (auto &[host, daemon] : m_daemons) {
        std::erase_if(daemon.pauses,
                      [now](const auto &entry) { return now - entry.second.at > pauseRetention; });
        for (const auto &[id, report] : daemon.reports) {
            m_totals[id].requests += report.requests;
            m_totals[id].promptTokens += report.promptTokens;
        }
    }
    std::map<core::EndpointId, std::vector<core::Duration>> pauses;
    for (const auto &[host, daemon] : m_daemons) {
        for (const auto &[id, pause] : daemon.pauses)
            pauses[id].push_back(pause.duration);
    }
    std::erase_if(m_pauses, [&endpoints, now](const auto &entry) {
        return !endpoints.contains(entry.first) || now - entry.second.at > medianRetention;
    });
    for (auto &[id, values] : pauses) {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::ranges::nth_element(values, middle);
        m_pauses[id] = {*middle, now};
    }
    updateShares(endpoints, regions);
}

// Endpoints and daemons of one region are divided in the order of their domains, so that most
// daemons get parts of endpoints of their own domain and none of another region.
void StreamCollector::updateShares(const Endpoints &endpoints, const Regions &regions)
{
    using Order = std::tuple<core::FailureDomainId, core::EndpointId>;
    std::map<std::pair<core::RegionId, core::ServiceId>, std::map<Order, const fleet::Endpoint *>>
        groups;
    for (const auto &[id, endpoint] : endpoints) {
        if (!endpoint.isLeaving && endpoint.slots > 0)
            groups[{regionOf(endpoint.domain, regions), endpoint.service}][{endpoint.domain, id}]
                = &endpoint;
    }
    std::map<core::RegionId, std::map<std::pair<core::FailureDomainId, core::HostId>, Daemon *>>
        daemons;
    for (auto &[host, daemon] : m_daemons) {
        daemon.shares.clear();
        daemons[regionOf(daemon.domain, regions)][{daemon.domain, host}] = &daemon;
    }
    for (const auto &[group, ordered] : groups) {
        std::vector<const fleet::Endpoint *> members;
        for (const auto &[order, endpoint] : ordered)
            members.push_back(endpoint);
        const auto shared = capacitiesOf(members);
        const auto &sharers = daemons[group.first];
        std::size_t position = 0;
        for (const auto &[order, daemon] : sharers)
            daemon->shares.merge(decisions::streams::sharesOf(position++, sharers.size(), shared));
    }
}

std::vector<decisions::streams::SharedEndpoint>
StreamCollector::capacitiesOf(const std::vector<const fleet::Endpoint *> &endpoints) const
{
    std::vector<double> known;
    for (const fleet::Endpoint *endpoint : endpoints) {
        if (const auto pause = m_pauses.find(endpoint->id); pause != m_pauses.end())
            known.push_back(timeFactorOf(pause->second.duration));
    }
    const double typical = decisions::streams::typicalFactorOf(known);
    std::vector<decisions::streams::SharedEndpoint> shared;
    for (const fleet::Endpoint *endpoint : endpoints) {
        const auto pause = m_pauses.find(endpoint->id);
        const double factor
            = pause == m_pauses.end() ? typical : timeFactorOf(pause->second.duration);
        shared.push_back(
            {endpoint->id, decisions::streams::streamCapacity(endpoint->slots, factor, typical)});
    }
    return shared;
}

std::optional<StreamView> StreamCollector::viewFor(const core::HostId &host,
                                                   const Endpoints &endpoints) const
{
    const auto daemon = m_daemons.find(host);
    if (daemon == m_daemons.end())
        return std::nullopt;
    StreamView view;
    for (const auto &[id, endpoint] : endpoints) {
        const auto total = m_totals.find(id);
        const StreamReport known = total == m_totals.end() ? StreamReport() : total->second;
        view.requests.push_back(known.requests);
        view.promptTokens.push_back(known.promptTokens);
        const auto pause = m_pauses.find(id);
        view.pauses.push_back(pause == m_pauses.end() ? core::Duration::zero()
                                                      : pause->second.duration);
        const auto share = daemon->second.shares.find(id);
        view.shares.push_back(share == daemon->second.shares.end() ? 0 : share->second);
    }
    return view;
}

} // namespace jackdawlead::gateway
