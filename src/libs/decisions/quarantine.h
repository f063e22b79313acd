#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/factstore.h"

#include <cstddef>
#include <list>
#include <map>
#include <set>
#include <string_view>

namespace jackdawlead::decisions {

using Fingerprint = core::Id<struct FingerprintTag>;
/// One death of one endpoint; unique over all daemons.
using CrashId = core::Id<struct CrashTag>;

/// Identifies a request by customer, adapter version and body. Thread safety: any thread.
Fingerprint fingerprintOf(const core::CustomerId &customer, const core::AdapterVersion &adapter,
                          std::string_view body);

enum class QuarantineState {
    Clear,
    Suspect,     ///< In flight at one death: not retried, and runs only alone.
    Quarantined, ///< In flight at two deaths: not run.
};

struct QuarantineLimits
{
    core::Duration duration = std::chrono::minutes(10);
    /// The oldest entry is dropped beyond; one entry needs about 300 bytes.
    std::size_t maxEntries = 4096;
};

/// Remembers which requests were in flight when an endpoint died. An entry lasts for the duration
/// after its last death. Thread safety: one thread at a time.
class Quarantine
{
public:
    explicit Quarantine(QuarantineLimits limits)
        : m_limits(limits)
    { }

    /// Records that the request was in flight at the death. Returns whether this was new.
    bool recordCrash(const Fingerprint &fingerprint, const CrashId &death, core::TimePoint now);
    QuarantineState state(const Fingerprint &fingerprint, core::TimePoint now) const;
    /// How long the standing lasts; zero if it is Clear.
    core::Duration remaining(const Fingerprint &fingerprint, core::TimePoint now) const;
    /// Whether a run may start: not quarantined, and alone if suspect.
    bool mayStart(const Fingerprint &fingerprint, core::TimePoint now) const;
    void recordStart(const Fingerprint &fingerprint) { ++m_running[fingerprint]; }
    /// Precondition: one recordStart() for each recordEnd().
    void recordEnd(const Fingerprint &fingerprint);
    std::size_t size() const { return m_entries.size(); }

    /// The fact that tells other daemons of one death.
    static Fact toFact(const Fingerprint &fingerprint, const CrashId &death);
    /// Takes such a fact of another daemon; others are ignored. Returns whether it was new.
    bool mergeFact(const Fact &fact, core::TimePoint now);

private:
    struct Entry
    {
        std::set<CrashId> deaths; ///< At most two.
        core::TimePoint expiresAt;
        std::list<Fingerprint>::iterator age;
    };
    const Entry *find(const Fingerprint &fingerprint, core::TimePoint now) const;

    QuarantineLimits m_limits;
    std::map<Fingerprint, Entry> m_entries;
    std::list<Fingerprint> m_ages; ///< Oldest death first.
    std::map<Fingerprint, int> m_running;
};

} // namespace jackdawlead::decisions
