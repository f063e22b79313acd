#pragma once

#include "config/manifest.h"
#include "core/ids.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace jackdawlead::config {

/// One generation of the configuration, indexed for look-ups on the request path.
/// Thread safety: immutable after construction; any thread.
class Catalog
{
public:
    Catalog(core::Generation generation, Manifest manifest);

    core::Generation generation() const { return m_generation; }
    const Manifest &manifest() const { return m_manifest; }

    /// Returns the customer that owns the bearer token with this digest, or null.
    const Customer *customerByTokenDigest(const std::string &digest) const;
    /// Returns the service through which `customer` may call `adapter`, or null.
    const Service *serviceFor(const core::CustomerId &customer,
                              const core::AdapterId &adapter) const;
    const Service *service(const core::ServiceId &name) const;
    const Adapter *adapter(const core::AdapterId &name) const;
    /// Returns the version `key` of an adapter, or null if the catalog does not contain it.
    const Version *version(const core::AdapterVersion &key) const;
    const Pool *pool(const core::PoolId &name) const;

private:
    core::Generation m_generation;
    Manifest m_manifest;
    std::unordered_map<std::string, const Customer *> m_customersByDigest;
    std::unordered_map<std::string, const Service *> m_servicesByCallerAndAdapter;
    std::unordered_map<core::ServiceId, const Service *> m_services;
    std::unordered_map<core::AdapterId, const Adapter *> m_adapters;
    std::unordered_map<core::PoolId, const Pool *> m_pools;
};

/// Whether `customer` is listed as a caller of `service`.
bool isCaller(const Service &service, const core::CustomerId &customer);

} // namespace jackdawlead::config
