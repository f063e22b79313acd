#include "gateway/peerlink.h"
#include "platform/watchcodec.h"

#include <utility>

namespace jackdawlead::gateway {

namespace {

// Inside a failure domain a response takes some milliseconds; after the timeout there is still time
// to read from the store.
constexpr core::Duration leaseRecordTimeout = std::chrono::milliseconds(200);

/// The lease's record from a relay. Errors: it has none, or only one of an earlier era.
absl::StatusOr<platform::StoredObject>
decodeRelayedRecord(const absl::StatusOr<http::Response> &response, core::StoreEra knownEra)
{
    if (!response.ok() || response->status != 200)
        return absl::UnavailableError("no record");
    const core::StoreEra era = platform::parseStoreEra(response->headers).value_or(knownEra);
    if (era < knownEra)
        return absl::UnavailableError("record of an earlier era");
    return platform::parseObject(response->body, era);
}

} // namespace

void PeerLink::serveLeaseRecord(http::ServerExchange &exchange) const
{
    const platform::StoredObject *record = m_election.freshRecord();
    if (record == nullptr)
        exchange.respond(StoreTransport::notRelayStatus, {}, {});
    else
        exchange.respond(200, platform::storeResponseFields(record->position.era),
                         platform::encodeObject(*record).dump());
}

void PeerLink::readLeaseRecord(CoordinatorElection::RecordHandler handler)
{
    const auto relay = m_storeTransport.usableRelay();
    if (!relay) {
        m_election.readFromStore(std::move(handler));
        return;
    }
    net::HttpRequest request;
    request.path = leaseRecordPath;
    m_controlClient.call(*relay, request, leaseRecordTimeout,
                         [this, alive = m_isAlive, handler = std::move(handler)](auto response) {
                             if (!*alive)
                                 return;
                             auto record = decodeRelayedRecord(response, m_election.storeEra());
                             if (record.ok())
                                 handler(std::move(record));
                             else
                                 m_election.readFromStore(handler);
                         });
}

} // namespace jackdawlead::gateway
