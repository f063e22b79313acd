#pragma once

#include "decisions/orderlease.h"
#include "net/timerservice.h"
#include "platform/objectstoreclient.h"

#include <functional>
#include <memory>
#include <optional>

namespace jackdawlead::gateway {

/// Keeps this daemon's part in the lease for orders: reads the record while its holder is not heard
/// of, takes it over, renews it, releases it. Thread safety: the loop's thread only.
class CoordinatorElection
{
public:
    using RecordHandler = platform::ObjectStoreClient::Handler<platform::StoredObject>;
    /// Reads the record of the lease, or of an earlier time within the period of readings.
    using RecordReader = std::function<void(RecordHandler)>;

    /// `isHolderReachable` tells whether the holder answered this daemon lately; while it does, the
    /// record is not read.
    CoordinatorElection(platform::ObjectStoreClient &store, net::TimerService &timers,
                        core::HostId self, net::Address peerAddress,
                        decisions::OrderLeaseLimits limits,
                        std::function<bool()> isHolderReachable);
    ~CoordinatorElection();
    CoordinatorElection(const CoordinatorElection &) = delete;
    CoordinatorElection &operator=(const CoordinatorElection &) = delete;

    void start();
    /// Reads on another way than from the store; writes are conditional, so that an older record
    /// only makes them fail. Precondition: before start().
    void setRecordReader(RecordReader reader) { m_recordReader = std::move(reader); }
    void readFromStore(RecordHandler handler);
    /// The record as the store last had it, if that was read within the period of readings.
    const platform::StoredObject *freshRecord() const;
    /// Gives up the right at once and writes so.
    void release();
    const decisions::OrderLease &lease() const { return m_lease; }
    bool isHolder() const;
    /// To be asked directly before each order.
    bool canIssueOrders() const;

private:
    void tick();
    void read();
    void write();

    platform::ObjectStoreClient &m_store;
    net::TimerService &m_timers;
    core::HostId m_self;
    net::Address m_peerAddress;
    decisions::OrderLease m_lease;
    core::Duration m_readPeriod;
    std::function<bool()> m_isHolderReachable;
    RecordReader m_recordReader;
    std::optional<platform::StoredObject> m_storeRecord; ///< As the store itself last answered.
    core::TimePoint m_storeRecordReadAt;
    bool m_isCallPending = false;
    core::TimePoint m_lastReadAt;
    core::TimePoint m_lastWriteFailureAt;
    net::TimerService::Subscription m_tickTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
