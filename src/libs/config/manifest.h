#pragma once

#include "core/ids.h"

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jackdawlead::config {

enum class PoolKind { Engine, Plain };

/// A group of interchangeable endpoints. The host list of the platform defines its members.
struct Pool
{
    core::PoolId name;
    PoolKind kind = PoolKind::Engine;
    core::ModelId model;
    int slots = 0;                ///< Adapter slots of each endpoint; engines only.
    bool checksFencing = false;   ///< Whether endpoints reject an outdated fencing token.
    bool needsCredential = false; ///< Whether endpoints authenticate the sender of an order.
    double stallWeight = 0.5;     ///< 1 favours short load stalls, 0 favours batch efficiency.
};

struct Customer
{
    core::CustomerId name;
    std::vector<std::string> tokenDigests; ///< Lower-case hexadecimal SHA-256 of bearer tokens.
};

struct Version
{
    std::string version;
    std::string source; ///< Path in the weight store.
};

struct Adapter
{
    core::AdapterId name;
    core::ModelId model;
    std::vector<Version> versions;
};

struct Service
{
    core::ServiceId name;
    core::PoolId pool;
    std::vector<core::AdapterId> adapters; ///< Empty for plain services.
    std::vector<core::CustomerId> callers;
    bool isRepeatable = true; ///< False if a call must run at most once.
};

/// The desired state that operators declare. Thread safety: a value type.
struct Manifest
{
    std::string release;
    std::vector<core::ModelId> models;
    std::vector<Pool> pools;
    std::vector<Customer> customers;
    std::vector<Adapter> adapters;
    std::vector<Service> services;
};

/// Parses a manifest and validates it as a whole. Errors: kInvalidArgument with step `validate`;
/// the message lists every error with its line and field. `source` names the input in messages.
absl::StatusOr<Manifest> parseManifest(const std::string &yaml, const std::string &source);

/// Returns the canonical form of a manifest; equal manifests have equal texts.
nlohmann::json toJson(const Manifest &manifest);
/// Decodes the canonical form. Errors: kInvalidArgument with step `decode`.
absl::StatusOr<Manifest> manifestFromJson(const nlohmann::json &json);

} // namespace jackdawlead::config
