#pragma once

#include "decisions/softwareversionhistory.h"
#include "fleet/endpoint.h"
#include "gateway/objectlister.h"
#include "net/timerservice.h"
#include "platform/objectstoreclient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jackdawlead::gateway {

/// The service and the software version at which a stream began.
struct StreamOrigin
{
    core::ServiceId service;
    core::SoftwareVersion version;

    bool operator==(const StreamOrigin &) const = default;
};

/// Knows at which software version each running stream began, also for streams of other daemons and
/// over a restart of all of them. While one version of a service serves, that follows from the list
/// of endpoints and costs nothing. While several do, or did within the longest stream, each daemon
/// keeps the streams that it began in one object of the store, and reads those of the others only
/// for a stream that a client takes up. Thread safety: the event loop's thread only.
class StreamVersions
{
public:
    enum class Source { OnlyVersion, OwnRecord, StoreRecord };
    struct Found
    {
        StreamOrigin origin;
        Source source = Source::OnlyVersion;
    };
    enum class Failure {
        None,    ///< Found, or not known yet: ask again soon.
        Unknown, ///< No daemon recorded it.
    };
    struct Lookup
    {
        std::optional<Found> found;
        Failure failure = Failure::None;
    };

    /// The list of endpoints that the daemon follows.
    struct EndpointList
    {
        std::function<const std::map<core::EndpointId, fleet::Endpoint> &()> endpoints;
        /// Up to when the list includes all changes.
        std::function<core::TimePoint()> confirmedAt;
        /// Asks the store at once for changes.
        std::function<void()> confirm;
        /// Whether the whole store is out, so that no endpoint can be listed anywhere.
        std::function<bool()> isStoreOut;
    };

    StreamVersions(platform::ObjectStoreClient &store, net::TimerService &timers,
                   core::HostId self);
    ~StreamVersions();
    StreamVersions(const StreamVersions &) = delete;
    StreamVersions &operator=(const StreamVersions &) = delete;

    /// Begins to publish. `isCoordinator` tells whether this daemon removes the records that are no
    /// longer needed.
    void start(EndpointList list, std::function<bool()> isCoordinator);
    /// The longest time for which a stream may run.
    void setLongestStream(core::Duration duration);
    /// The interval of the writes while several versions serve follows from the number of daemons.
    void setDaemonCount(int count);
    void recordEndpoint(const fleet::Endpoint &endpoint);

    /// Records that a request is about to be sent to an endpoint at which its stream may begin, so
    /// that most records are stored before the first event arrives. Returns false if the request
    /// must not be sent yet, because the store may know only another version to which it was sent
    /// before.
    bool mayBegin(const core::RequestId &request, const StreamOrigin &origin);
    /// A request's first event has arrived.
    void recordBegin(const core::RequestId &request, const StreamOrigin &origin);
    /// Whether a request's first event, which arrived at `arrivedAt`, must not go to its client
    /// yet, because the store does not know of the stream. A store that does not take the record
    /// delays no event for longer than the interval of the writes and 0.2 s.
    bool mustHoldFirstEvent(const core::RequestId &request, const core::ServiceId &service,
                            core::TimePoint arrivedAt) const;
    /// Finds where the stream began that `begunBy` began and a client takes up since `askedAt`.
    /// `service` counts if the request is not recorded and its service had one version only, as of
    /// a list that was confirmed since then: in an older one the version of the stream may be
    /// missing.
    Lookup find(const core::RequestId &begunBy, const core::ServiceId &service,
                core::TimePoint askedAt);

    /// What outlives all daemons of the versions that served recently.
    nlohmann::json encodeHistory() const;
    /// Errors: nlohmann::json::exception if the value is malformed.
    void applyHistory(const nlohmann::json &value);
    /// There was no daemon before.
    void setPastKnown() { m_history.setPastKnown(); }
    /// Calls to the store so far.
    std::uint64_t storeCalls() const { return m_storeCalls + m_lister.calls(); }

private:
    enum class RequestHash : std::uint64_t {};
    struct Begin
    {
        std::vector<StreamOrigin> origins; ///< Several if it is not known which one sent events.
        core::TimePoint at;
        std::uint64_t changeNumber = 0;
    };
    using Begins = std::unordered_map<RequestHash, Begin>;

    /// Whether no version can be missing that was listed before `time`.
    bool isListCurrent(core::TimePoint time) const;
    Begin &changeBegin(const core::RequestId &request);
    static RequestHash hashOf(const core::RequestId &request);
    void publishIfDue();
    void updateHistory();
    /// Whether a stream that this daemon began may be taken up where its version does not follow
    /// from the list of endpoints.
    bool needsRecord() const;
    bool isRecordOutdated() const;
    void publish();
    void handlePublished(const absl::StatusOr<platform::WriteResult> &result,
                         std::uint64_t changeNumber);
    nlohmann::json encodeBegins() const;
    /// The streams of a record, as begun now.
    Begins decodeBegins(const nlohmann::json &spec) const;
    void fetch();
    void finishFetch(const absl::StatusOr<ObjectList> &list);
    void removeRecords();
    void removeNext();
    void dropExpired(Begins &begins) const;

    platform::ObjectStoreClient &m_store;
    net::TimerService &m_timers;
    core::HostId m_self;
    decisions::SoftwareVersionHistory m_history;
    EndpointList m_list;
    std::function<bool()> m_isCoordinator;
    core::Duration m_publishPeriod;

    std::set<core::ServiceId> m_streamServices; ///< At which this daemon began streams.
    Begins m_begun;                   ///< By this daemon, or by an earlier process of its host.
    std::uint64_t m_changeNumber = 0; ///< Rises with each stream that begins.
    std::uint64_t m_publishedNumber = 0;
    std::optional<core::StorePosition> m_recordPosition; ///< Of the own record.
    bool m_isPublishing = false;
    bool m_hasPublishFailed = false; ///< The last attempt, because the store did not take it.
    core::TimePoint m_publishedAt;

    ObjectLister m_lister;
    Begins m_fetched; ///< Begun by other daemons, as of the last complete fetch.
    bool m_isFetching = false;
    core::Duration m_fetchInterval; ///< Between the begins of two fetches.
    core::TimePoint m_fetchStartedAt;
    core::TimePoint m_knownAsOf; ///< When the last complete fetch started.

    bool m_areRecordsLeft = true; ///< The store may hold records that are no longer needed.
    std::vector<platform::StoredObject> m_recordsToRemove;
    std::uint64_t m_storeCalls = 0; ///< Other than those of the fetches.
    net::TimerService::Subscription m_publishTimer;
    net::TimerService::Subscription m_historyTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
