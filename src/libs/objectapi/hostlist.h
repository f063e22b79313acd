#pragma once

#include "core/ids.h"
#include "net/httpclient.h"

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jackdawlead::objectapi {

enum class HostRole { Daemon, Endpoint };

/// One entry of the platform's host list, which lags behind the truth.
struct HostEntry
{
    std::string name;
    HostRole role = HostRole::Endpoint;
    net::Address address; ///< The peer address of a daemon, the service address of an endpoint.
    core::PoolId pool;    ///< Endpoints only.
    core::RegionId region;
    core::FailureDomainId failureDomain;
    bool isLeaving = false;
};

/// Reads the host list without the entries that cannot be read. Errors: kUnavailable and kInternal
/// with step `host-list`. Thread safety: the loop's thread only.
class HostListClient
{
public:
    /// The entries, or nothing if they did not change since the last read.
    using Hosts = std::optional<std::vector<HostEntry>>;
    using Handler = std::function<void(absl::StatusOr<Hosts>)>;

    HostListClient(net::HttpClient &http, net::Address server);
    void read(Handler handler);

private:
    net::HttpClient &m_http;
    net::Address m_server;
    std::string m_entityTag;
};

} // namespace jackdawlead::objectapi
