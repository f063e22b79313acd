#include "decisions/placementview.h"

#include "decisions/adapterplanner.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::decisions {

void PlacementView::updateFromRecord(const fleet::Endpoint &endpoint)
{
    Entry &entry = m_endpoints[endpoint.id];
    if (entry.contents.startTime > endpoint.startTime)
        return; // Record of an earlier incarnation.
    if (entry.contents.startTime != endpoint.startTime)
        entry = {};
    entry.contents.startTime = endpoint.startTime;
    for (const fleet::LoadedModel &held : endpoint.models) {
        entry.contents.models.try_emplace(held.model);
        if (entry.hasCoordinatorContents)
            continue;
        for (const std::string &text : held.adapters) {
            const auto [adapter, version] = parseHeldAdapter(text);
            entry.contents.adapters[{held.model, adapter}] = {version, {}};
            recordVersion({held.model, adapter}, version);
        }
    }
}

bool PlacementView::applyUpdate(const core::EndpointId &id, ContentsChange change)
{
    EndpointContents &contents = change.contents;
    for (const auto &[key, adapter] : contents.adapters)
        recordVersion(key, adapter.version);
    const auto found = m_endpoints.find(id);
    const bool isKnown = found != m_endpoints.end();
    if (isKnown && found->second.contents.startTime > contents.startTime)
        return true; // Update for an earlier incarnation.
    if (change.isSnapshot) {
        // A snapshot may arrive before the endpoint's record of this incarnation.
        m_endpoints[id] = {std::move(contents), true};
        return true;
    }
    if (!isKnown || !found->second.hasCoordinatorContents
        || found->second.contents.startTime != contents.startTime)
        return false;
    EndpointContents &known = found->second.contents;
    known.models = std::move(contents.models);
    for (const fleet::AdapterKey &key : change.removals)
        known.adapters.erase(key);
    for (auto &[key, adapter] : contents.adapters)
        known.adapters[key] = adapter;
    return true;
}

void PlacementView::recordVersion(const fleet::AdapterKey &key, int version)
{
    constexpr int firstVersion = 1;
    if (version > firstVersion)
        m_highestVersions[key] = std::max(m_highestVersions[key], version);
}

int PlacementView::highestVersion(const fleet::AdapterKey &key) const
{
    const auto found = m_highestVersions.find(key);
    return found == m_highestVersions.end() ? 0 : found->second;
}

void PlacementView::recordPlacementMiss(const core::EndpointId &id, const fleet::AdapterKey &key)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    if (key.adapter.isEmpty())
        found->second.contents.models.erase(key.model);
    else
        found->second.contents.adapters.erase(key);
}

bool PlacementView::holdsModel(const core::EndpointId &id, const core::ModelId &model,
                               core::TimePoint now) const
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return false;
    const auto held = found->second.contents.models.find(model);
    return held != found->second.contents.models.end() && held->second <= now;
}

std::optional<int> PlacementView::heldVersion(const core::EndpointId &id,
                                              const fleet::AdapterKey &key,
                                              core::TimePoint now) const
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return std::nullopt;
    const auto held = found->second.contents.adapters.find(key);
    if (held == found->second.contents.adapters.end() || held->second.usableAt > now)
        return std::nullopt;
    return held->second.version;
}

} // namespace jackdawlead::decisions
