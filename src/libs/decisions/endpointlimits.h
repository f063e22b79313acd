#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "fleet/endpoint.h"

#include <map>
#include <optional>

namespace jackdawlead::decisions {

/// The newest known statement of an endpoint incarnation about its request limit.
struct EndpointLimit
{
    fleet::StartTime incarnation {};
    std::optional<fleet::RequestRate> rate; ///< Empty if the limit was lifted.
    core::TimePoint statedAt;               ///< The statement is at least as new as this.

    bool operator==(const EndpointLimit &) const = default;
};

enum class LimitChange { None, Announced, Changed, Lifted };

/// The request limits that endpoints have announced, from the answers that this daemon received and
/// from other daemons. Answers on different connections overtake each other, so that an answer
/// replaces a statement only if its request was sent after that statement was received. Thread
/// safety: one thread at a time.
class EndpointLimits
{
public:
    /// How long a lifted limit is kept, so that daemons which miss some messages learn of it.
    static constexpr core::Duration liftedRetention = std::chrono::seconds(10);

    /// Applies an answer that announces a limit. Of two answers that cross, the lower limit
    /// applies.
    LimitChange recordAnnounced(const core::EndpointId &id, fleet::StartTime incarnation,
                                fleet::RequestRate rate, core::TimePoint sentAt,
                                core::TimePoint receivedAt);
    /// Applies an answer without a limit to a request that was sent at `sentAt`.
    LimitChange recordUnlimited(const core::EndpointId &id, fleet::StartTime incarnation,
                                core::TimePoint sentAt);
    /// Applies what another daemon knows.
    LimitChange applyUpdate(const core::EndpointId &id, const EndpointLimit &limit);
    /// The limit in force for the incarnation; nullptr if there is none.
    const EndpointLimit *find(const core::EndpointId &id, fleet::StartTime incarnation) const;
    /// All statements, including those of lifted limits.
    const std::map<core::EndpointId, EndpointLimit> &all() const { return m_limits; }
    void remove(const core::EndpointId &id) { m_limits.erase(id); }
    void removeExpired(core::TimePoint now);

private:
    std::map<core::EndpointId, EndpointLimit> m_limits;
};

} // namespace jackdawlead::decisions
