#pragma once

#include "decisions/orderlease.h"
#include "net/timerservice.h"
#include "platform/objectstoreclient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jackdawlead::gateway {

/// Takes part in the election of the coordinator through the lease for orders: reads the record
/// while its holder is not reachable, takes it over, renews it, releases it.
/// Thread safety: the event loop's thread only.
class CoordinatorElection
{
public:
    using RecordHandler = platform::ObjectStoreClient::Handler<platform::StoredObject>;
    /// Reads the record of the lease; the result may be as old as the read interval.
    using RecordReader = std::function<void(RecordHandler)>;

    /// State of the fleet that is kept in the lease's record, so that it outlives all daemons.
    struct SharedState
    {
        std::string field;                      ///< Of the record.
        std::function<nlohmann::json()> encode; ///< A null value is left out of the record.
        /// Errors: nlohmann::json::exception if the value is malformed.
        std::function<void(const nlohmann::json &value)> apply;
        /// There is no record, because the whole system starts for the first time.
        std::function<void()> applyNone = [] {};
    };

    /// `isHolderReachable` returns whether the holder responded to this daemon recently; while it
    /// does, the record is not read.
    CoordinatorElection(platform::ObjectStoreClient &store, net::TimerService &timers,
                        core::HostId self, net::Address peerAddress,
                        decisions::OrderLeaseLimits limits,
                        std::function<bool()> isHolderReachable);
    ~CoordinatorElection();
    CoordinatorElection(const CoordinatorElection &) = delete;
    CoordinatorElection &operator=(const CoordinatorElection &) = delete;

    void start();
    /// Replaces reading from the store. An outdated record only makes the conditional writes fail.
    /// Precondition: start() was not called yet.
    void setRecordReader(RecordReader reader) { m_recordReader = std::move(reader); }
    /// Precondition: start() was not called yet.
    void addSharedState(SharedState state) { m_sharedStates.push_back(std::move(state)); }
    /// The newest era of the store that this daemon knows.
    core::StoreEra storeEra() const { return m_store.era(); }
    void readFromStore(RecordHandler handler);
    /// The record as last read from the store; nullptr if that is older than the read interval.
    const platform::StoredObject *freshRecord() const;
    /// Ends the lease's validity immediately and writes the release to the store.
    void release();
    /// Whether this daemon can carry out the coordinator's work. A holder that cannot hands the
    /// lease over: its validity ends at once, and the release is written to the store.
    void setEligible(bool isEligible);
    const decisions::OrderLease &lease() const { return m_lease; }
    bool isHolder() const;
    /// Whether orders may be sent; to be checked directly before each one.
    bool canIssueOrders() const;

private:
    void tick();
    /// Records the present record, or that there is none, in the store's present era.
    void observe(const std::optional<platform::StoredObject> &object);
    void read();
    void write();
    std::optional<decisions::OrderLeaseRecord> decodeRecord(const platform::StoredObject &object);
    void applySharedState(const nlohmann::json &spec) const;

    platform::ObjectStoreClient &m_store;
    net::TimerService &m_timers;
    core::HostId m_self;
    net::Address m_peerAddress;
    decisions::OrderLease m_lease;
    core::Duration m_readPeriod;
    bool m_isFirstStart;
    std::function<bool()> m_isHolderReachable;
    RecordReader m_recordReader;
    std::vector<SharedState> m_sharedStates;
    std::optional<platform::StoredObject> m_storeRecord; ///< From the store itself.
    core::TimePoint m_storeRecordReadAt;
    bool m_isCallPending = false;
    core::TimePoint m_lastReadAt;
    core::TimePoint m_lastWriteFailureAt;
    net::TimerService::Subscription m_tickTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
