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

core::RegionId regionOf(const core::FailureDomainId &domain,
                        const StreamCollector::Regions &regions)
{
    const auto found = regions.find(domain);
    return found == regions.end() ? core::RegionId() : found->second;
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
    m_promptTokens.clear();
    for (auto &[host, daemon] : m_daemons) {
        std::erase_if(daemon.pauses,
                      [now](const auto &entry) { return now - entry.second.at > pauseRetention; });
        for (const auto &[id, report] : daemon.reports)
            m_promptTokens[id] += report.promptTokens;
    }
    std::map<core::EndpointId, std::vector<core::Duration>> pauses;
    for (const auto &[host, daemon] : m_daemons) {
        for (const auto &[id, pause] : daemon.pauses)
            pauses[id].push_back(pause.duration);
    }
    std::erase_if(m_pauses,
                  [&endpoints](const auto &entry) { return !endpoints.contains(entry.first); });
    for (auto &[id, values] : pauses) {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::ranges::nth_element(values, middle);
        m_pauses[id] = *middle;
    }
    updateShares(endpoints, regions);
}

// Endpoints and daemons of one region are divided in the order of their domains, so that most
// daemons get parts of endpoints of their own domain and none of another region.
void StreamCollector::updateShares(const Endpoints &endpoints, const Regions &regions)
{
    using Order = std::tuple<core::FailureDomainId, core::EndpointId>;
    std::map<std::pair<core::RegionId, core::ServiceId>, std::map<Order, double>> capacities;
    for (const auto &[id, endpoint] : endpoints) {
        if (endpoint.isLeaving || endpoint.slots <= 0)
            continue;
        const auto pause = m_pauses.find(id);
        const double timeFactor = pause == m_pauses.end() ? 1
                                                          : core::toSeconds(pause->second)
                / core::toSeconds(decisions::streams::EngineTimes::referencePause);
        capacities[{regionOf(endpoint.domain, regions), endpoint.service}][{endpoint.domain, id}]
            = decisions::streams::streamCapacity(endpoint.slots, timeFactor);
    }
    std::map<core::RegionId, std::map<std::pair<core::FailureDomainId, core::HostId>, Daemon *>>
        daemons;
    for (auto &[host, daemon] : m_daemons) {
        daemon.shares.clear();
        daemons[regionOf(daemon.domain, regions)][{daemon.domain, host}] = &daemon;
    }
    for (const auto &[group, ordered] : capacities) {
        std::vector<decisions::streams::SharedEndpoint> shared;
        for (const auto &[order, capacity] : ordered)
            shared.push_back({std::get<core::EndpointId>(order), capacity});
        const auto &members = daemons[group.first];
        std::size_t position = 0;
        for (const auto &[order, daemon] : members)
            daemon->shares.merge(decisions::streams::sharesOf(position++, members.size(), shared));
    }
}

std::optional<StreamView> StreamCollector::viewFor(const core::HostId &host,
                                                   const Endpoints &endpoints) const
{
    const auto daemon = m_daemons.find(host);
    if (daemon == m_daemons.end())
        return std::nullopt;
    StreamView view;
    for (const auto &[id, endpoint] : endpoints) {
        const auto tokens = m_promptTokens.find(id);
        view.promptTokens.push_back(tokens == m_promptTokens.end() ? 0 : tokens->second);
        const auto pause = m_pauses.find(id);
        view.pauses.push_back(pause == m_pauses.end() ? core::Duration::zero() : pause->second);
        const auto share = daemon->second.shares.find(id);
        view.shares.push_back(share == daemon->second.shares.end() ? 0 : share->second);
    }
    return view;
}

} // namespace jackdawlead::gateway
