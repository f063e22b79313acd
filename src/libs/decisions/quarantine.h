#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/crashlimits.h"
#include "decisions/factstore.h"

#include <cstddef>
#include <list>
#include <map>
#include <set>
#include <string_view>

namespace jackdawlead::decisions {

using Fingerprint = core::Id<struct FingerprintTag>;
/// Identifies one crash of one endpoint; unique over all daemons.
using CrashId = core::Id<struct CrashTag>;

/// Identifies a request by customer, adapter version and body. Thread safety: any thread.
Fingerprint fingerprintOf(const core::CustomerId &customer, const core::AdapterVersion &adapter,
                          std::string_view body);

enum class QuarantineState {
    Clear,
    Suspect,     ///< In flight at one crash: not retried, and runs only alone.
    Quarantined, ///< In flight at two crashes: not run.
};

struct QuarantineLimits
{
    core::Duration duration = std::chrono::minutes(10);
    /// Beyond this number the oldest entry is dropped; one entry needs about 300 bytes.
    std::size_t maxEntries = 4096;
};

/// Records which requests were in flight when an endpoint crashed. An entry expires when the
/// duration has passed since its last crash. Thread safety: one thread at a time.
class Quarantine
{
public:
    explicit Quarantine(QuarantineLimits limits)
        : m_limits(limits)
    { }

    /// Records that the request was in flight at the crash. Returns whether this was new.
    bool recordCrash(const Fingerprint &fingerprint, const CrashId &crash, core::TimePoint now);
    QuarantineState state(const Fingerprint &fingerprint, core::TimePoint now) const;
    /// Time until the state expires; zero if it is Clear.
    core::Duration remaining(const Fingerprint &fingerprint, core::TimePoint now) const;
    /// Whether the request may start: not quarantined, and not already running if suspect.
    bool mayStart(const Fingerprint &fingerprint, core::TimePoint now) const;
    void recordStart(const Fingerprint &fingerprint) { ++m_running[fingerprint]; }
    /// Precondition: one recordStart() for each recordEnd().
    void recordEnd(const Fingerprint &fingerprint);
    std::size_t size() const { return m_entries.size(); }

    /// The fact that reports one crash to other daemons.
    static Fact toFact(const Fingerprint &fingerprint, const CrashId &crash);
    /// Merges such a fact of another daemon; other facts are ignored. Returns whether it was new.
    bool mergeFact(const Fact &fact, core::TimePoint now);

private:
    struct Entry
    {
        std::set<CrashId> crashes; ///< At most two.
        core::TimePoint expiresAt;
        std::list<Fingerprint>::iterator agePosition;
    };
    const Entry *find(const Fingerprint &fingerprint, core::TimePoint now) const;

    QuarantineLimits m_limits;
    std::map<Fingerprint, Entry> m_entries;
    std::list<Fingerprint> m_byAge; ///< Oldest crash first.
    std::map<Fingerprint, int> m_running;
};

} // namespace jackdawlead::decisions
