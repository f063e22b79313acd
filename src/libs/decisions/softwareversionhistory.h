#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <set>

namespace jackdawlead::decisions {

/// Which software versions of each service have served within the longest stream. A stream can only
/// have begun at one of them. Thread safety: one thread at a time.
class SoftwareVersionHistory
{
public:
    /// For each service and version how long ago an endpoint with it was last listed.
    using Ages = std::map<core::ServiceId, std::map<core::SoftwareVersion, core::Duration>>;

    explicit SoftwareVersionHistory(core::TimePoint startedAt)
        : m_startedAt(startedAt)
    { }

    /// Sets for how long a stream may go on after it began.
    void setRetention(core::Duration retention) { m_retention = retention; }
    core::Duration retention() const { return m_retention; }
    /// An endpoint with the version is listed.
    void recordListed(const core::ServiceId &service, const core::SoftwareVersion &version,
                      core::TimePoint now);
    /// Merges what other daemons knew. The ages may have been longer meanwhile, never shorter.
    void merge(const Ages &ages, core::TimePoint now);
    /// The versions that served before this daemon started are known.
    void setPastKnown() { m_isPastKnown = true; }
    Ages ages(core::TimePoint now) const;

    /// The only version at which a running stream of the service can have begun; empty if there may
    /// be several, or if the time before this daemon's start counts and is not known.
    std::optional<core::SoftwareVersion> onlyVersion(const core::ServiceId &service,
                                                     core::TimePoint now) const;
    /// Whether the versions that served before this daemon's start are known, or no longer count.
    bool isPastKnown(core::TimePoint now) const
    {
        return m_isPastKnown || now - m_startedAt > m_retention;
    }
    /// Whether onlyVersion() is empty for any service.
    bool hasSeveralVersions(core::TimePoint now) const;

private:
    core::TimePoint m_startedAt;
    core::Duration m_retention = std::chrono::seconds(30); ///< Until a configuration is known.
    bool m_isPastKnown = false;
    std::map<core::ServiceId, std::map<core::SoftwareVersion, core::TimePoint>> m_lastListedAt;
};

} // namespace jackdawlead::decisions
