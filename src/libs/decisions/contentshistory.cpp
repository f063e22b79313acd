#include "decisions/contentshistory.h"

namespace jackdawlead::decisions {

void ContentsHistory::update(const core::EndpointId &id, const EndpointContents &contents,
                             std::uint64_t revision)
{
    Entry &entry = m_endpoints[id];
    bool isChanged = entry.mustResendModels || entry.contents.models != contents.models;
    if (entry.revision == 0 || entry.contents.startTime != contents.startTime) {
        entry = {};
        entry.firstDeltaRevision = revision;
        isChanged = true;
    }
    for (const auto &[key, adapter] : entry.contents.adapters) {
        if (!contents.adapters.contains(key)) {
            entry.changedAt.erase(key);
            entry.removals.emplace(revision, key);
            isChanged = true;
        }
    }
    for (const auto &[key, adapter] : contents.adapters) {
        const auto previous = entry.contents.adapters.find(key);
        if (previous == entry.contents.adapters.end() || !(previous->second == adapter)
            || !entry.changedAt.contains(key)) {
            entry.changedAt[key] = revision;
            isChanged = true;
        }
    }
    while (entry.removals.size() > maxRemovals) {
        entry.firstDeltaRevision = entry.removals.begin()->first;
        entry.removals.erase(entry.removals.begin());
    }
    entry.contents = contents;
    entry.revision = revision;
    entry.mustResendModels = false;
    if (isChanged)
        entry.changeRevision = revision;
}

void ContentsHistory::scheduleResend(const core::EndpointId &id, const fleet::AdapterKey &key)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    if (key.adapter.isEmpty())
        found->second.mustResendModels = true;
    else
        found->second.changedAt.erase(key);
}

std::uint64_t ContentsHistory::revisionOf(const core::EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? 0 : found->second.revision;
}

std::map<core::EndpointId, ContentsChange>
ContentsHistory::changesSince(std::uint64_t revision) const
{
    std::map<core::EndpointId, ContentsChange> changes;
    for (const auto &[id, entry] : m_endpoints) {
        if (entry.changeRevision <= revision)
            continue;
        ContentsChange &change = changes[id];
        change.isSnapshot = revision < entry.firstDeltaRevision;
        if (change.isSnapshot) {
            change.contents = entry.contents;
            continue;
        }
        change.contents.startTime = entry.contents.startTime;
        change.contents.models = entry.contents.models;
        for (const auto &[key, changedAt] : entry.changedAt) {
            if (changedAt > revision)
                change.contents.adapters[key] = entry.contents.adapters.at(key);
        }
        for (auto removal = entry.removals.upper_bound(revision); removal != entry.removals.end();
             ++removal) {
            if (!entry.contents.adapters.contains(removal->second))
                change.removals.push_back(removal->second);
        }
    }
    return changes;
}

} // namespace jackdawlead::decisions
