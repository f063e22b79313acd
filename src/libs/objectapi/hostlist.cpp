#include "objectapi/hostlist.h"

#include "core/error.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace jackdawlead::objectapi {

namespace {

using nlohmann::json;

HostEntry entryFromJson(const json &item)
{
    HostEntry entry;
    entry.name = item.at("name");
    entry.role = item.at("role") == "daemon" ? HostRole::Daemon : HostRole::Endpoint;
    entry.address = {item.at("ip"), item.at("port")};
    entry.pool = core::PoolId(item.value("pool", std::string()));
    entry.region = core::RegionId(item.at("region"));
    entry.failureDomain = core::FailureDomainId(item.at("failureDomain"));
    entry.isLeaving = item.at("state") == "leaving";
    return entry;
}

absl::StatusOr<HostListClient::Hosts> parseHosts(const std::string &body, const std::string &peer)
{
    try {
        std::vector<HostEntry> entries;
        const json list = json::parse(body);
        for (const json &item : list.at("items"))
            entries.push_back(entryFromJson(item));
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
