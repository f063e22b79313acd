#include "objectapi/hostlist.h"

#include "core/boundedjson.h"
#include "core/error.h"
#include "net/ipaddress.h"
#include "observability/log.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace jackdawlead::objectapi {

namespace {

using nlohmann::json;

absl::Status entryError(const std::string &peer, std::string_view what)
{
    return core::makeError(absl::StatusCode::kInternal, "host-list", peer,
                           "entry skipped: " + std::string(what));
}

absl::StatusOr<HostEntry> entryFromJson(const json &item, const std::string &peer)
{
    HostEntry entry;
    entry.name = item.at("name").get<std::string>();
    const auto role = item.at("role").get<std::string>();
    entry.role = role == "daemon" ? HostRole::Daemon : HostRole::Endpoint;
    entry.address
        = {item.at("ip").get<std::string>(), core::integerOf<std::uint16_t>(item.at("port"))};
    entry.pool = core::PoolId(item.value("pool", std::string()));
    entry.region = core::RegionId(item.at("region").get<std::string>());
    entry.failureDomain = core::FailureDomainId(item.at("failureDomain").get<std::string>());
    const auto state = item.at("state").get<std::string>();
    entry.isLeaving = state == "leaving";
    if (entry.role == HostRole::Endpoint && role != "endpoint")
        return entryError(peer, "unknown role");
    if (!entry.isLeaving && state != "live")
        return entryError(peer, "unknown state");
    if (!net::isIpv4Address(entry.address.ip))
        return entryError(peer, "the address is no number");
    return entry;
}

absl::StatusOr<HostEntry> parseEntry(std::string_view text, const std::string &peer)
{
    try {
        return entryFromJson(core::parseJson(text), peer);
    } catch (const json::exception &error) {
        return entryError(peer, error.what());
    }
}

absl::StatusOr<HostListClient::Hosts> parseHosts(const std::string &body, const std::string &peer)
{
    try {
        if (!core::isClosed(body))
            return core::makeError(absl::StatusCode::kInternal, "host-list", peer,
                                   "the host list was cut off");
        std::vector<HostEntry> entries;
        for (const std::string_view text : core::elementTexts(core::memberText(body, "items"))) {
            if (auto entry = parseEntry(text, peer); entry.ok())
                entries.push_back(*std::move(entry));
            else
                observability::logError(observability::LogLevel::Warn, entry.status());
        }
        return HostListClient::Hosts(std::move(entries));
    } catch (const json::exception &error) {
        return core::makeError(absl::StatusCode::kInternal, "host-list", peer,
                               std::string("malformed host list: ") + error.what());
    }
}

} // namespace

HostListClient::HostListClient(net::HttpClient &http, net::Address server)
    : m_http(http)
    , m_server(std::move(server))
{ }

void HostListClient::read(Handler handler)
{
    const std::string peer = m_server.toString();
    net::HttpRequest request {"GET", "/v1/hosts", {}, {}};
    // At the two-year size the list is larger than the control budget of several seconds, so it is
    // sent only when it changed.
    if (!m_entityTag.empty())
        request.headers.add("If-None-Match", m_entityTag);
    m_http.send(
        m_server, request, {std::chrono::seconds(2), std::chrono::seconds(2)},
        [this, peer, handler = std::move(handler)](const absl::StatusOr<net::HttpResponse> &reply) {
            if (!reply.ok()) {
                handler(reply.status());
                return;
            }
            if (reply->status == 304) {
                handler(Hosts());
                return;
            }
            if (reply->status != 200) {
                handler(core::makeError(absl::StatusCode::kUnavailable, "host-list", peer,
                                        "status " + std::to_string(reply->status)));
                return;
            }
            auto hosts = parseHosts(reply->body, peer);
            if (hosts.ok())
                m_entityTag = reply->headers.value("ETag");
            handler(std::move(hosts));
        });
}

} // namespace jackdawlead::objectapi
