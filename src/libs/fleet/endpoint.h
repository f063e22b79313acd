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

/// The wall-clock millisecond at which an endpoint started; distinguishes incarnations of one id.
using StartTime = std::chrono::milliseconds;

/// Requests per second that an endpoint accepts from all daemons together.
struct RequestRate
{
    double perSecond = 0;

    auto operator<=>(const RequestRate &) const = default;
};

/// One incarnation of an endpoint, from its own record. Thread safety: a value type.
struct Endpoint
{
    core::EndpointId id;
    core::ServiceId service;
    net::Address address;
    core::FailureDomainId domain;
    core::SoftwareVersion softwareVersion; ///< Empty if the record states none.
    int slots = 0;
    bool isLeaving = false;                  ///< Accepts no new work.
    std::optional<core::Duration> remaining; ///< Time until it is removed, if it is.
    StartTime startTime {};
    std::uint64_t orderRevision = 0; ///< Orders accepted by this incarnation.
    std::vector<LoadedModel> models;

    /// Whether all fields but the models and the order revision are equal.
    bool equalsExceptContents(const Endpoint &other) const
    {
        const auto identity = [](const Endpoint &endpoint) {
            return std::tie(endpoint.id, endpoint.service, endpoint.address, endpoint.domain,
                            endpoint.softwareVersion, endpoint.slots, endpoint.isLeaving,
                            endpoint.remaining, endpoint.startTime);
        };
        return identity(*this) == identity(other);
    }
};

/// An endpoint's response to a request for its contents. The values are some hundred milliseconds
/// old.
struct EndpointReport
{
    StartTime startTime {};
    std::uint64_t orderRevision = 0;
    bool isBusy = false; ///< An order is being carried out.
    std::vector<LoadedModel> models;
    std::vector<std::string> pending; ///< Adapters being loaded, as MODEL/NAME@VERSION.
};

/// A version of an adapter that was announced as the newest.
struct AnnouncedVersion
{
    core::ModelId model;
    core::AdapterId adapter; ///< Empty for the base model itself.
    int version = 0;
};

} // namespace jackdawlead::fleet
