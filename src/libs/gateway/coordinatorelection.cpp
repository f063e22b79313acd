#include "gateway/coordinatorelection.h"

#include "core/boundedjson.h"
#include "net/clocks.h"
#include "observability/log.h"
#include "platform/decoder.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace jackdawlead::gateway {

namespace {

constexpr char recordName[] = "orders";
constexpr core::Duration tickPeriod = std::chrono::milliseconds(100);
// Short enough to observe each renewal of a holder that this daemon cannot reach.
constexpr core::Duration readPeriod = std::chrono::milliseconds(400);
constexpr core::Duration writeRetryDelay = std::chrono::milliseconds(150);
// For daemons whose candidacy delay is longer than a takeover by another daemon takes to become
// visible; they read only to find the new holder. Two intervals exceed the 1.3 s after which a
// lease has expired, so that two further reads detect it.
constexpr core::Duration relaxedReadPeriod = std::chrono::milliseconds(700);

core::Duration readPeriodFor(const decisions::OrderLeaseLimits &limits)
{
    return limits.candidacyDelay > readPeriod ? relaxedReadPeriod : readPeriod;
}

nlohmann::json encodeRecord(const decisions::OrderLeaseRecord &record, core::TimePoint sentAt)
{
    // The store assigns no new revision to a replacement without changes, so the record includes
    // the time.
    return {{"holder", record.holder.value()},
            {"token", record.token.value()},
            {"address", record.address.toString()},
            {"released", record.isReleased},
            {"era", record.writtenIn.value()},
            {"sent", sentAt.time_since_epoch().count()},
            {"waited", record.hasWaited}};
}

} // namespace

CoordinatorElection::CoordinatorElection(platform::ObjectStoreClient &store,
                                         net::TimerService &timers, core::HostId self,
                                         net::Address peerAddress,
                                         decisions::OrderLeaseLimits limits,
                                         std::function<bool()> isHolderReachable)
    : m_store(store)
    , m_timers(timers)
    , m_self(self)
    , m_peerAddress(std::move(peerAddress))
    , m_lease(std::move(self), limits)
    , m_readPeriod(readPeriodFor(limits))
    , m_isFirstStart(limits.isFirstStart)
    , m_isHolderReachable(std::move(isHolderReachable))
{ }

CoordinatorElection::~CoordinatorElection()
{
    *m_isAlive = false;
}

void CoordinatorElection::start()
{
    read();
    m_tickTimer = m_timers.every(tickPeriod, [this] { tick(); });
}

bool CoordinatorElection::isHolder() const
{
    return m_lease.isHolder(net::bootTime());
}

bool CoordinatorElection::canIssueOrders() const
{
    return m_lease.canIssueOrders(net::bootTime());
}

void CoordinatorElection::tick()
{
    if (m_isCallPending)
        return;
    const core::TimePoint now = net::bootTime();
    const bool isOwn = m_lease.record() && m_lease.record()->holder == m_self;
    if (!isOwn && m_lease.record() && m_isHolderReachable())
        return;
    if (m_lease.shouldWrite(now)) {
        if (now - m_lastWriteFailureAt >= writeRetryDelay)
            write();
        return;
    }
    // A record of this host that came back with a copy is observed like that of another one.
    if (!m_lease.isHolder(now) && now - m_lastReadAt >= m_readPeriod)
        read();
}

const platform::StoredObject *CoordinatorElection::freshRecord() const
{
    const bool isFresh = m_storeRecord && m_storeRecord->position.era == m_store.era()
        && net::bootTime() - m_storeRecordReadAt <= m_readPeriod + tickPeriod;
    return isFresh ? &*m_storeRecord : nullptr;
}

std::optional<decisions::OrderLeaseRecord>
CoordinatorElection::decodeRecord(const platform::StoredObject &object)
{
    decisions::OrderLeaseRecord record;
    record.position = object.position;
    try {
        record.holder = core::HostId(object.spec.at("holder").get<std::string>());
        record.token = core::FencingToken(object.spec.at("token").get<std::uint64_t>());
        record.isReleased = object.spec.at("released").get<bool>();
        // Daemons of the previous release state neither of these.
        record.hasWaited = object.spec.value("waited", false);
        record.writtenIn = core::StoreEra(
            core::integerMember(object.spec, "era", std::uint64_t {object.position.era.value()}));
        auto address = platform::decodeAddress(object.spec.at("address").get<std::string>());
        if (address.ok())
            record.address = *std::move(address);
    } catch (const nlohmann::json::exception &error) {
        observability::log({.level = observability::LogLevel::Error,
                            .step = "read lease",
                            .message = error.what()});
        return std::nullopt;
    }
    applySharedState(object.spec);
    return record;
}

// The lease must not depend on the state that is kept with it.
void CoordinatorElection::applySharedState(const nlohmann::json &spec) const
{
    for (const SharedState &state : m_sharedStates) {
        const auto value = spec.find(state.field);
        if (value == spec.end())
            continue;
        try {
            state.apply(*value);
        } catch (const nlohmann::json::exception &error) {
            observability::log({.level = observability::LogLevel::Error,
                                .step = "read shared state",
                                .message = error.what()});
        }
    }
}

void CoordinatorElection::readFromStore(RecordHandler handler)
{
    m_store.read(platform::ObjectKind::Leases, recordName,
                 [this, alive = m_isAlive, sentAt = net::bootTime(),
                  handler = std::move(handler)](auto object) {
                     if (*alive && object.ok()) {
                         m_storeRecord = *object;
                         m_storeRecordReadAt = sentAt;
                     }
                     handler(std::move(object));
                 });
}

void CoordinatorElection::observe(const std::optional<platform::StoredObject> &object)
{
    const core::TimePoint now = net::bootTime();
    m_lease.enterEra(object ? object->position.era : m_store.era(), now);
    m_lease.observe(object ? decodeRecord(*object) : std::nullopt, now);
    if (object || !m_isFirstStart)
        return;
    for (const SharedState &state : m_sharedStates)
        state.applyNone();
}

void CoordinatorElection::read()
{
    m_isCallPending = true;
    m_lastReadAt = net::bootTime();
    const auto done = [this, alive = m_isAlive](auto object) {
        if (!*alive)
            return;
        m_isCallPending = false;
        if (object.ok())
            observe(*object);
        else if (absl::IsNotFound(object.status()))
            observe(std::nullopt);
    };
    if (m_recordReader)
        m_recordReader(done);
    else
        readFromStore(done);
}

void CoordinatorElection::write()
{
    m_isCallPending = true;
    const core::TimePoint sentAt = net::bootTime();
    const decisions::OrderLeaseRecord proposal = m_lease.proposal(m_peerAddress, sentAt);
    const auto done = [this, alive = m_isAlive, proposal, sentAt](auto result) {
        if (!*alive)
            return;
        m_isCallPending = false;
        if (!result.ok()) {
            m_lastWriteFailureAt = net::bootTime();
            observability::logError(observability::LogLevel::Warn, result.status());
            // The write may have taken effect, so the record is read again.
            read();
            return;
        }
        // A conditional write states no era, so that it may replace a record of a later one whose
        // revision was given out again. Then it is not an acquisition.
        const bool isSameEra
            = result->object && result->object->position.era == proposal.position.era;
        if (result->isWritten && !isSameEra) {
            read();
            return;
        }
        if (!result->isWritten) {
            if (result->object)
                observe(*result->object);
            else
                read();
            return;
        }
        const bool isNew = !m_lease.record() || m_lease.record()->token != proposal.token;
        m_lease.proposalAccepted(proposal, result->object->position, sentAt);
        if (isNew && !proposal.isReleased)
            observability::log(
                {.step = "lease for orders",
                 .message = absl::StrCat("won with token ", proposal.token.value())});
    };
    nlohmann::json spec = encodeRecord(proposal, sentAt);
    for (const SharedState &state : m_sharedStates) {
        if (nlohmann::json value = state.encode(); !value.is_null())
            spec[state.field] = std::move(value);
    }
    if (proposal.position.revision == 0)
        m_store.create(platform::ObjectKind::Leases, recordName, spec, done);
    else
        m_store.replace(platform::ObjectKind::Leases, {recordName, proposal.position, spec}, done);
}

void CoordinatorElection::setEligible(bool isEligible)
{
    if (isEligible == m_lease.isEligible())
        return;
    const bool wasHolder = isHolder();
    m_lease.setEligible(isEligible);
    if (!wasHolder)
        return;
    observability::log({.level = observability::LogLevel::Warn,
                        .step = "lease for orders",
                        .message = "handed over, because endpoints are out of reach"});
    write();
}

void CoordinatorElection::release()
{
    const bool wasHolder = isHolder();
    m_lease.release();
    m_tickTimer.cancel();
    if (wasHolder)
        write();
}

} // namespace jackdawlead::gateway
