#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "net/httpmessage.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace jackdawlead::fleet {

/// A base model as an endpoint holds it.
struct LoadedModel
{
    core::ModelId model;
    int version = 0;
    std::vector<std::string> adapters; ///< Each as NAME@VERSION.
};

/// The wall-clock millisecond at which an endpoint started; tells two lives of one id apart.
using StartTime = std::chrono::milliseconds;

/// One life of an endpoint as it describes itself. Thread safety: a value type.
struct Endpoint
{
    core::EndpointId id;
    core::ServiceId service;
    net::Address address;
    core::FailureDomainId domain;
    int slots = 0;
    bool isLeaving = false;                  ///< Takes no new work.
    std::optional<core::Duration> remaining; ///< Time until it is gone, if it is taken away.
    StartTime startTime {};
    std::uint64_t orderRevision = 0; ///< Orders accepted in this life.
    std::vector<LoadedModel> models;

    /// Whether the other one differs at most in its models and in the orders behind them.
    bool equalsExceptContents(const Endpoint &other) const
    {
        const auto identity = [](const Endpoint &endpoint) {
            return std::tie(endpoint.id, endpoint.service, endpoint.address, endpoint.domain,
                            endpoint.slots, endpoint.isLeaving, endpoint.remaining,
                            endpoint.startTime);
        };
        return identity(*this) == identity(other);
    }
};

/// What an endpoint answers when it is asked for its contents. The values are some hundred
/// milliseconds old.
struct EndpointReport
{
    StartTime startTime {};
    std::uint64_t orderRevision = 0;
    bool isBusy = false; ///< An order is being carried out.
    std::vector<LoadedModel> models;
    std::vector<std::string> pending; ///< Adapters on their way, each as MODEL/NAME@VERSION.
};

/// A version of an adapter that was announced as the newest.
struct AnnouncedVersion
{
    core::ModelId model;
    core::AdapterId adapter; ///< Empty for the base model itself.
    int version = 0;
};

} // namespace jackdawlead::fleet
