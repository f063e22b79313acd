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
    Member,     ///< Subject: host. Version: see memberVersion().
    Generation, ///< Subject: empty. Version: configuration generation. Value: a host that has it.
    ObjectApi,  ///< Subject: host. Value: `up` or `down`.
    Quarantine, ///< Subject: fingerprint of a request and id of a crash of its endpoint.
    EndpointFailure, ///< Subject: endpoint. Value: instance that failed.
};
constexpr std::size_t factKindCount = 5;

using FactSubject = core::Id<struct FactSubjectTag>;
using FactVersion = core::SequenceNumber<struct FactVersionTag>;

/// A small record that daemons exchange by gossip. Of two facts with the same kind and subject, the
/// one with the higher version takes precedence.
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
    /// Bounds the size of a message; 20 facts of typical length need about 1 KB.
    std::size_t maxPerMessage = 20;
    /// The maximum number of transmissions is this factor times log2 of the number of daemons.
    std::size_t retransmitFactor = 3;
    std::size_t bestEffortRetransmits = 3;
    /// Twice the number needed for the states of 360 daemons and 660 endpoints.
    std::size_t maxFacts = 4096;
    std::size_t maxSubjectBytes = 256;
    std::size_t maxValueBytes = 128;
};

enum class FactPriority : std::uint8_t {
    Normal,     ///< Retransmitted until all daemons have received it with high probability.
    BestEffort, ///< Sent a few times, and only in messages with unused capacity.
};

/// Stores the newest version of each fact and selects the facts of the next message.
/// Thread safety: one thread at a time.
class FactStore
{
public:
    explicit FactStore(FactLimits limits)
        : m_limits(limits)
    { }

    /// Stores `fact` and queues it for transmission if it is newer than the stored version and
    /// within the limits; returns whether it is. When the store is full, the fact that has been
    /// unchanged for longest is dropped; member states are dropped last.
    bool merge(const Fact &fact, FactPriority priority = FactPriority::Normal);
    /// Queues the stored fact for transmission again, as if it were new.
    void retransmit(FactKind kind, const FactSubject &subject);
    /// The stored fact; nullptr if there is none. Valid until the next merge().
    const Fact *find(FactKind kind, const FactSubject &subject) const;
    /// Selects up to `maxCount` facts, those sent least often first, and counts them as sent.
    /// `daemonCount` determines the maximum number of transmissions of a fact.
    std::vector<Fact> take(std::size_t maxCount, std::size_t daemonCount);
    /// Number of facts that are queued for transmission.
    std::size_t pendingCount() const { return m_pending.size(); }
    std::size_t size() const { return m_facts.size(); }
    const FactLimits &limits() const { return m_limits; }

private:
    using Key = std::pair<FactKind, FactSubject>;
    struct Entry
    {
        Fact fact;
        std::list<Key>::iterator agePosition;
    };
    /// Number of transmissions; equal counts are ordered newest first.
    using Rank = std::pair<std::size_t, std::int64_t>;

    void evictOldest();
    void enqueue(const Key &key, FactPriority priority);
    void dequeue(const Key &key);

    FactLimits m_limits;
    std::map<Key, Entry> m_facts;
    std::list<Key> m_membersByAge; ///< Oldest change first.
    std::list<Key> m_othersByAge;  ///< Oldest change first.
    std::map<Rank, Key> m_pending;
    std::map<Key, Rank> m_ranks;
    std::int64_t m_changeCount = 0;
};

} // namespace jackdawlead::decisions
