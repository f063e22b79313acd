#include "gateway/streamversions.h"

#include "observability/log.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// Bounds the writes of all daemons together to about 50 a second or, on a fleet of hundreds, to a
// quarter of its store's rate. A first event may be held for that long.
constexpr core::Duration periodPerDaemon = std::chrono::milliseconds(20);
constexpr core::Duration minPublishPeriod = std::chrono::milliseconds(100);
constexpr core::Duration maxPublishPeriod = std::chrono::milliseconds(300);
constexpr core::Duration publishCheckPeriod = std::chrono::milliseconds(50);
constexpr core::Duration historyPeriod = std::chrono::milliseconds(500);
// The time of the last listing of a version is that late, and a take-up arrives after the stream.
constexpr core::Duration retentionMargin = std::chrono::seconds(2);
constexpr core::Duration minFetchInterval = std::chrono::milliseconds(200);
constexpr core::Duration maxFetchInterval = std::chrono::seconds(2);
// Time from a stream's first event until its record can be read, in addition to the publish period.
constexpr core::Duration recordDelay = std::chrono::milliseconds(200);
// A caller whose stream broke off has lost its latency target; this bounds how long it is held.
constexpr core::Duration maxLookupTime = std::chrono::milliseconds(1500);

// A watch without changes waits for some seconds.
constexpr core::Duration maxListAge = std::chrono::seconds(3);

constexpr char originsField[] = "origins";
constexpr char serviceField[] = "service";
constexpr char versionField[] = "version";
constexpr char requestsField[] = "requests";

std::uint64_t toNumber(const char *bytes)
{
    std::uint64_t number = 0;
    std::memcpy(&number, bytes, sizeof number);
    return number;
}

} // namespace

StreamVersions::StreamVersions(platform::ObjectStoreClient &store, net::TimerService &timers,
                               core::HostId self)
    : m_store(store)
    , m_timers(timers)
    , m_self(std::move(self))
    , m_history(timers.now())
    , m_publishPeriod(minPublishPeriod)
    , m_lister(store, timers, platform::ObjectKind::Streams)
    , m_fetchInterval(minFetchInterval)
{ }

StreamVersions::~StreamVersions()
{
    *m_isAlive = false;
}

void StreamVersions::start(EndpointList list, std::function<bool()> isCoordinator)
{
    m_list = std::move(list);
    m_isCoordinator = std::move(isCoordinator);
    m_publishTimer = m_timers.every(publishCheckPeriod, [this] { publishIfDue(); });
    m_historyTimer = m_timers.every(historyPeriod, [this] { updateHistory(); });
}

void StreamVersions::setLongestStream(core::Duration duration)
{
    m_history.setRetention(duration + retentionMargin);
}

void StreamVersions::setDaemonCount(int count)
{
    m_publishPeriod = std::clamp(periodPerDaemon * count, minPublishPeriod, maxPublishPeriod);
}

void StreamVersions::recordEndpoint(const fleet::Endpoint &endpoint)
{
    m_history.recordListed(endpoint.service, endpoint.softwareVersion, m_timers.now());
}

// Two of the requests of an hour on the largest deployment have an equal hash with a probability of
// one in a million.
StreamVersions::RequestHash StreamVersions::hashOf(const core::RequestId &request)
{
    return static_cast<RequestHash>(XXH3_64bits(request.value().data(), request.value().size()));
}

StreamVersions::Begin &StreamVersions::changeBegin(const core::RequestId &request)
{
    Begin &begin = m_begun[hashOf(request)];
    begin.at = m_timers.now();
    begin.changeNumber = ++m_changeNumber;
    return begin;
}

bool StreamVersions::mayBegin(const core::RequestId &request, const StreamOrigin &origin)
{
    m_streamServices.insert(origin.service);
    const auto known = m_begun.find(hashOf(request));
    if (known == m_begun.end()) {
        changeBegin(request).origins = {origin};
        return true;
    }
    if (known->second.origins == std::vector {origin})
        return true;
    if (std::ranges::find(known->second.origins, origin) == known->second.origins.end())
        changeBegin(request).origins.push_back(origin);
    return m_publishedNumber >= known->second.changeNumber;
}

void StreamVersions::recordBegin(const core::RequestId &request, const StreamOrigin &origin)
{
    const auto known = m_begun.find(hashOf(request));
    if (known == m_begun.end() || known->second.origins != std::vector {origin})
        changeBegin(request).origins = {origin};
}

bool StreamVersions::mustHoldFirstEvent(const core::RequestId &request,
                                        const core::ServiceId &service,
                                        core::TimePoint arrivedAt) const
{
    const core::TimePoint now = m_timers.now();
    const auto begin = m_begun.find(hashOf(request));
    if (begin == m_begun.end() || begin->second.changeNumber <= m_publishedNumber
        || m_history.onlyVersion(service, now))
        return false;
    const core::Duration maxHold = m_publishPeriod + recordDelay;
    const bool isStoreSilent = m_isPublishing && now - m_publishedAt >= maxHold;
    return !m_hasPublishFailed && !isStoreSilent && now - arrivedAt < maxHold;
}

StreamVersions::Lookup StreamVersions::find(const core::RequestId &begunBy,
                                            const core::ServiceId &service, core::TimePoint askedAt)
{
    const core::TimePoint now = m_timers.now();
    for (const auto &[begins, source] :
         {std::pair {&m_begun, Source::OwnRecord}, {&m_fetched, Source::StoreRecord}}) {
        // A request that waits at a silent endpoint may begin at another version after its record
        // was read.
        if (source == Source::StoreRecord && m_knownAsOf < askedAt)
            continue;
        const auto begin = begins->find(hashOf(begunBy));
        if (!begunBy.isEmpty() && begin != begins->end() && begin->second.origins.size() == 1)
            return {Found {begin->second.origins.front(), source}, Failure::None};
    }
    if (const auto only = m_history.onlyVersion(service, now)) {
        if (isListCurrent(askedAt))
            return {Found {{service, *only}, Source::OnlyVersion}, Failure::None};
        m_list.confirm();
        return {std::nullopt, now - askedAt > maxLookupTime ? Failure::Unknown : Failure::None};
    }
    const core::TimePoint settledAt = askedAt + m_publishPeriod + recordDelay;
    if (begunBy.isEmpty() || m_knownAsOf >= settledAt || now - askedAt > maxLookupTime)
        return {std::nullopt, Failure::Unknown};
    const bool isFetchDue = m_knownAsOf < askedAt || now >= settledAt;
    if (isFetchDue && !m_isFetching && now - m_fetchStartedAt >= m_fetchInterval)
        fetch();
    return {};
}

bool StreamVersions::isListCurrent(core::TimePoint time) const
{
    return m_list.confirmedAt() >= time || m_list.isStoreOut();
}

void StreamVersions::publishIfDue()
{
    const bool isDue = !m_isPublishing && m_timers.now() - m_publishedAt >= m_publishPeriod;
    if (isDue && needsRecord() && isRecordOutdated())
        publish();
}

void StreamVersions::updateHistory()
{
    for (const auto &[id, endpoint] : m_list.endpoints())
        recordEndpoint(endpoint);
    dropExpired(m_begun);
    dropExpired(m_fetched);
    if (m_history.hasSeveralVersions(m_timers.now())) {
        m_areRecordsLeft = true;
        return;
    }
    m_recordPosition.reset();
    const bool isListRecent = m_list.confirmedAt() >= m_timers.now() - maxListAge;
    if (m_areRecordsLeft && isListRecent && m_isCoordinator())
        removeRecords();
}

bool StreamVersions::needsRecord() const
{
    return std::ranges::any_of(m_streamServices, [this](const core::ServiceId &service) {
        return !m_history.onlyVersion(service, m_timers.now());
    });
}

// A restored store may hold an earlier record.
bool StreamVersions::isRecordOutdated() const
{
    return m_changeNumber != m_publishedNumber
        || (m_recordPosition && m_recordPosition->era != m_store.era());
}

void StreamVersions::dropExpired(Begins &begins) const
{
    const core::TimePoint oldest = m_timers.now() - m_history.retention();
    std::erase_if(begins, [oldest](const auto &entry) { return entry.second.at < oldest; });
}

void StreamVersions::publish()
{
    m_isPublishing = true;
    m_publishedAt = m_timers.now();
    ++m_storeCalls;
    const auto done = [this, alive = m_isAlive, number = m_changeNumber](const auto &result) {
        if (*alive)
            handlePublished(result, number);
    };
    if (m_recordPosition)
        m_store.replace(platform::ObjectKind::Streams,
                        {m_self.value(), *m_recordPosition, encodeBegins()}, done);
    else
        m_store.create(platform::ObjectKind::Streams, m_self.value(), encodeBegins(), done);
}

void StreamVersions::handlePublished(const absl::StatusOr<platform::WriteResult> &result,
                                     std::uint64_t changeNumber)
{
    m_isPublishing = false;
    m_hasPublishFailed = !result.ok() && !absl::IsNotFound(result.status());
    if (!result.ok()) {
        if (!m_hasPublishFailed)
            m_recordPosition.reset(); // The store lost it, or the coordinator removed it.
        else
            observability::logError(observability::LogLevel::Warn, result.status());
        return;
    }
    if (result->object)
        m_recordPosition = result->object->position;
    if (result->isWritten)
        m_publishedNumber = changeNumber;
    else if (result->object)
        m_begun.merge(decodeBegins(result->object->spec)); // Of an earlier process of this host.
}

nlohmann::json StreamVersions::encodeBegins() const
{
    std::map<std::pair<core::ServiceId, core::SoftwareVersion>, std::string> requests;
    for (const auto &[hash, begin] : m_begun) {
        const auto number = static_cast<std::uint64_t>(hash);
        for (const StreamOrigin &origin : begin.origins)
            requests[{origin.service, origin.version}].append(
                reinterpret_cast<const char *>(&number), sizeof number);
    }
    nlohmann::json origins = nlohmann::json::array();
    for (const auto &[origin, bytes] : requests)
        origins.push_back({{serviceField, origin.first.value()},
                           {versionField, origin.second.value()},
                           {requestsField, absl::Base64Escape(bytes)}});
    return {{originsField, origins}};
}

StreamVersions::Begins StreamVersions::decodeBegins(const nlohmann::json &spec) const
{
    Begins begins;
    try {
        for (const nlohmann::json &entry : spec.at(originsField)) {
            const StreamOrigin origin {
                core::ServiceId(entry.at(serviceField).get<std::string>()),
                core::SoftwareVersion(entry.at(versionField).get<std::string>())};
            std::string bytes;
            if (!absl::Base64Unescape(entry.at(requestsField).get<std::string>(), &bytes))
                continue;
            for (std::size_t at = 0; at + sizeof(std::uint64_t) <= bytes.size();
                 at += sizeof(std::uint64_t)) {
                Begin &begin = begins[static_cast<RequestHash>(toNumber(bytes.data() + at))];
                begin.at = m_timers.now();
                begin.origins.push_back(origin);
            }
        }
    } catch (const nlohmann::json::exception &error) {
        observability::log({.level = observability::LogLevel::Warn,
                            .step = "read stream record",
                            .message = error.what()});
    }
    return begins;
}

void StreamVersions::fetch()
{
    m_isFetching = true;
    m_fetchStartedAt = m_timers.now();
    m_lister.start([this](const auto &list) { finishFetch(list); });
}

void StreamVersions::finishFetch(const absl::StatusOr<ObjectList> &list)
{
    m_isFetching = false;
    if (!list.ok()) {
        observability::logError(observability::LogLevel::Warn, list.status());
        // The same list would probably be as unreadable again.
        if (absl::IsDataLoss(list.status()))
            m_fetchInterval = std::min(m_fetchInterval * 2, maxFetchInterval);
        return;
    }
    m_fetchInterval = minFetchInterval;
    m_fetched.clear();
    for (const platform::StoredObject &record : list->objects)
        m_fetched.merge(decodeBegins(record.spec));
    m_knownAsOf = list->sentAt;
}

// The records of hosts that are gone for good would stay otherwise.
void StreamVersions::removeRecords()
{
    m_areRecordsLeft = false;
    ++m_storeCalls;
    m_store.list(platform::ObjectKind::Streams, {}, [this, alive = m_isAlive](auto page) {
        if (!*alive)
            return;
        if (!page.ok()) {
            m_areRecordsLeft = true;
            return;
        }
        for (const platform::StoredObject &record : page->items)
            m_recordsToRemove.push_back(record);
        m_areRecordsLeft = page->hasMore;
        removeNext();
    });
}

void StreamVersions::removeNext()
{
    if (m_recordsToRemove.empty())
        return;
    const platform::StoredObject record = std::move(m_recordsToRemove.back());
    m_recordsToRemove.pop_back();
    ++m_storeCalls;
    m_store.remove(platform::ObjectKind::Streams, record, [this, alive = m_isAlive](auto result) {
        if (!*alive)
            return;
        const bool isGone = result.ok() ? result->isWritten : absl::IsNotFound(result.status());
        if (!isGone)
            m_areRecordsLeft = true; // Its daemon has written it meanwhile.
        removeNext();
    });
}

nlohmann::json StreamVersions::encodeHistory() const
{
    nlohmann::json services = nlohmann::json::object();
    for (const auto &[service, versions] : m_history.ages(m_timers.now())) {
        for (const auto &[version, age] : versions)
            services[service.value()][version.value()]
                = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    }
    return services;
}

void StreamVersions::applyHistory(const nlohmann::json &value)
{
    if (m_history.isPastKnown(m_timers.now()))
        return;
    decisions::SoftwareVersionHistory::Ages ages;
    for (const auto &[service, versions] : value.items()) {
        for (const auto &[version, age] : versions.items())
            ages[core::ServiceId(service)][core::SoftwareVersion(version)]
                = std::chrono::milliseconds(age.template get<std::uint32_t>());
    }
    m_history.merge(ages, m_timers.now());
    m_history.setPastKnown();
}

} // namespace jackdawlead::gateway
