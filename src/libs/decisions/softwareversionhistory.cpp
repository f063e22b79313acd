#include "decisions/softwareversionhistory.h"

#include <algorithm>

namespace jackdawlead::decisions {

void SoftwareVersionHistory::recordListed(const core::ServiceId &service,
                                          const core::SoftwareVersion &version, core::TimePoint now)
{
    auto &versions = m_lastListedAt[service];
    versions[version] = now;
    std::erase_if(versions, [&](const auto &entry) { return now - entry.second > m_retention; });
}

void SoftwareVersionHistory::merge(const Ages &ages, core::TimePoint now)
{
    for (const auto &[service, versions] : ages) {
        for (const auto &[version, age] : versions) {
            core::TimePoint &listedAt = m_lastListedAt[service][version];
            listedAt = std::max(listedAt, now - age);
        }
    }
}

SoftwareVersionHistory::Ages SoftwareVersionHistory::ages(core::TimePoint now) const
{
    Ages ages;
    for (const auto &[service, versions] : m_lastListedAt) {
        for (const auto &[version, listedAt] : versions) {
            if (now - listedAt <= m_retention)
                ages[service][version] = now - listedAt;
        }
    }
    return ages;
}

std::optional<core::SoftwareVersion>
SoftwareVersionHistory::onlyVersion(const core::ServiceId &service, core::TimePoint now) const
{
    const auto versions = m_lastListedAt.find(service);
    if (versions == m_lastListedAt.end() || !isPastKnown(now))
        return std::nullopt;
    std::optional<core::SoftwareVersion> only;
    for (const auto &[version, listedAt] : versions->second) {
        if (now - listedAt > m_retention)
            continue;
        // Endpoints that state no version may have different ones.
        if (only || version.isEmpty())
            return std::nullopt;
        only = version;
    }
    return only;
}

bool SoftwareVersionHistory::hasSeveralVersions(core::TimePoint now) const
{
    return std::ranges::any_of(m_lastListedAt, [this, now](const auto &entry) {
        return !onlyVersion(entry.first, now).has_value();
    });
}

} // namespace jackdawlead::decisions
