#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jackdawlead::decisions {

enum class FactKind : std::uint8_t {
    Member,          ///< Subject: host. Version: see memberVersion().
    Generation,      ///< Subject: empty. Version: configuration generation. Value: host with it.
    ObjectApi,       ///< Subject: host. Value: `up` or `down`.
    Quarantine,      ///< Subject: fingerprint and endpoint that failed while it was in flight.
    EndpointFailure, ///< Subject: endpoint. Value: instance that failed.
};
constexpr std::size_t factKindCount = 5;

using FactSubject = core::Id<struct FactSubjectTag>;
using FactVersion = core::SequenceNumber<struct FactVersionTag>;

/// A small statement that daemons pass on to each other. Of two facts with the same kind and
/// subject, the one with the higher version holds.
struct Fact
{
    FactKind kind = FactKind::Member;
    FactSubject subject;
    FactVersion version;
    std::string value;

    bool operator==(const Fact &) const = default;
};

struct FactLimits
{
    /// Bounds the size of a message; 20 facts of usual length need about 1 KB.
    std::size_t maxPerMessage = 20;
    /// A fact is sent at most this many times log2 of the number of daemons.
    std::size_t retransmitFactor = 3;
    std::size_t bestEffortRetransmits = 3;
    /// Covers the states of 360 daemons and 660 endpoints, twice.
    std::size_t maxFacts = 4096;
    std::size_t maxSubjectBytes = 256;
    std::size_t maxValueBytes = 128;
};

enum class FactPriority : std::uint8_t {
    Normal,     ///< Repeated until all daemons know it with high probability.
    BestEffort, ///< Sent a few times, and only when a message has room left.
};

/// Keeps the newest version of each fact and chooses which ones the next message carries.
/// Thread safety: one thread at a time.
class FactStore
{
public:
    explicit FactStore(FactLimits limits)
        : m_limits(limits)
    { }

    /// Keeps `fact` if it is newer than what is known and within the limits; returns whether it is.
    /// When the store is full, the fact that has been unchanged for longest is dropped; member
    /// states are dropped last. A fact that is kept is passed on.
    bool merge(const Fact &fact, FactPriority priority = FactPriority::Normal);
    /// Passes the known fact on again, as if it were new.
    void retransmit(FactKind kind, const FactSubject &subject);
    /// The known fact; null if there is none. Valid until the next merge().
    const Fact *find(FactKind kind, const FactSubject &subject) const;
    /// Chooses up to `room` facts, those sent least often first, and counts them as sent.
    /// `daemonCount` determines how often a fact is repeated.
    std::vector<Fact> take(std::size_t room, std::size_t daemonCount);
    /// Facts that are still to be sent.
    std::size_t pendingCount() const { return m_pending.size(); }
    std::size_t size() const { return m_facts.size(); }
    const FactLimits &limits() const { return m_limits; }

private:
    using Key = std::pair<FactKind, FactSubject>;
    struct Entry
    {
        Fact fact;
        std::list<Key>::iterator age;
    };
    /// Times sent and, for equal counts, newest first.
    using Rank = std::pair<std::size_t, std::int64_t>;

    void makeRoom();
    void passOn(const Key &key, FactPriority priority);
    void stopPassingOn(const Key &key);

    FactLimits m_limits;
    std::map<Key, Entry> m_facts;
    std::list<Key> m_members;  ///< Oldest change first.
    std::list<Key> m_ordinary; ///< Oldest change first.
    std::map<Rank, Key> m_pending;
    std::map<Key, Rank> m_ranks;
    std::int64_t m_changes = 0;
};

} // namespace jackdawlead::decisions
