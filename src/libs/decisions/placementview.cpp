#include "decisions/placementview.h"

#include "decisions/adapterplanner.h"

#include <utility>

namespace jackdawlead::decisions {

void PlacementView::recordSeen(const fleet::Endpoint &endpoint)
{
    Entry &entry = m_endpoints[endpoint.id];
    if (entry.contents.born != endpoint.born)
        entry = {};
    entry.contents.born = endpoint.born;
    for (const fleet::HeldModel &held : endpoint.models) {
        entry.contents.models.try_emplace(held.model);
        if (entry.isTold)
            continue;
        for (const std::string &text : held.adapters) {
            const auto [adapter, version] = parseHeldAdapter(text);
            entry.contents.adapters[{held.model, adapter}] = {version, {}};
        }
    }
}

void PlacementView::told(const core::EndpointId &id, EndpointContents contents)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || found->second.contents.born != contents.born)
        return;
    found->second = {std::move(contents), true};
}

void PlacementView::contradicted(const core::EndpointId &id, const fleet::AdapterKey &key)
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
