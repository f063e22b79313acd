#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "fleet/customer.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jackdawlead::fleet {

/// Whether a request may run more than once; only Repeatable work may.
enum class Repeatability {
    Repeatable,
    AtMostOnce,
};

/// One of the services that share the traffic of a route.
struct RouteTarget
{
    core::ServiceId service;
    double weight = 1.0;
};

/// Maps requests by host and path to services, with the limits of the requests.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    Repeatability repeatability = Repeatability::AtMostOnce;
    bool isStream = false;
    bool isResumable = false;
    bool isAnonymous = false; ///< Requests need no key, also if the configuration has customers.
    std::vector<RouteTarget> targets;
    core::Duration timeout {};
    core::Duration targetLatency {}; ///< Until the complete answer, or the first event of a stream.
    core::Duration targetGap {};     ///< Longest gap between events; zero if not configured.
    std::optional<int> priority;     ///< 0 is the most urgent; empty if not configured.
    int maxAttempts = 1;             ///< Endpoints on which one request may run.

    /// Whether a second run, or one that resumes an interrupted stream, is allowed.
    bool isRepeatable() const { return repeatability == Repeatability::Repeatable; }
};

/// A base model that endpoints of a service can hold.
struct ModelSpec
{
    core::ModelId model;
    double weightsMegabytes = 0;
    double adapterMegabytes = 0;
    core::Duration loadTime {};
};

/// Capacity of a service's model engines.
struct EngineSpec
{
    int slots = 0;
    int adapterSlots = 0;
    double weightsMegabytes = 0; ///< For models and adapters together.
    double loadsPerSecond = 0;   ///< Model loads from the weight store over all endpoints.
    std::vector<ModelSpec> models;

    /// The model of that name; nullptr if the engine cannot hold it.
    const ModelSpec *find(const core::ModelId &model) const
    {
        const auto found = std::ranges::find(models, model, &ModelSpec::model);
        return found == models.end() ? nullptr : &*found;
    }
};

struct ServiceSpec
{
    core::ServiceId service;
    std::size_t maxConnections = 0; ///< To one endpoint, of all clients together.
    std::string healthPath;         ///< Of its endpoints; empty if it has none.
    std::optional<EngineSpec> engine;
};

/// Limits on the size and duration of requests.
struct CallerLimits
{
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    core::Duration headerTimeout {};
    core::Duration idleTimeout {};
};

/// One accepted configuration. Thread safety: a value type.
struct Configuration
{
    core::Generation generation;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    CallerLimits limits;
    /// Empty if requests need no keys; an empty list means that no key is valid.
    std::optional<std::vector<Customer>> customers;
    std::size_t longestKeyBytes = 0; ///< No key of a customer is longer.
};

} // namespace jackdawlead::fleet
