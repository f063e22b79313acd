#include "config/catalog.h"

#include <algorithm>

namespace jackdawlead::config {

namespace {

std::string callerAdapterKey(const core::CustomerId &customer, const core::AdapterId &adapter)
{
    return customer.value() + "/" + adapter.value();
}

template <typename Key, typename Value>
const Value *find(const std::unordered_map<Key, const Value *> &map, const Key &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

} // namespace

Catalog::Catalog(core::Generation generation, Manifest manifest)
    : m_generation(generation)
    , m_manifest(std::move(manifest))
{
    for (const Customer &customer : m_manifest.customers)
        for (const std::string &digest : customer.tokenDigests)
            m_customersByDigest.emplace(digest, &customer);
    for (const Adapter &adapter : m_manifest.adapters)
        m_adapters.emplace(adapter.name, &adapter);
    for (const Pool &pool : m_manifest.pools)
        m_pools.emplace(pool.name, &pool);
    for (const Service &service : m_manifest.services) {
        m_services.emplace(service.name, &service);
        for (const core::CustomerId &caller : service.callers)
            for (const core::AdapterId &adapter : service.adapters)
                m_servicesByCallerAndAdapter.emplace(callerAdapterKey(caller, adapter), &service);
    }
}

const Customer *Catalog::customerByTokenDigest(const std::string &digest) const
{
    return find(m_customersByDigest, digest);
}

const Service *Catalog::serviceFor(const core::CustomerId &customer,
                                   const core::AdapterId &adapter) const
{
    return find(m_servicesByCallerAndAdapter, callerAdapterKey(customer, adapter));
}

const Service *Catalog::service(const core::ServiceId &name) const
{
    return find(m_services, name);
}

const Adapter *Catalog::adapter(const core::AdapterId &name) const
{
    return find(m_adapters, name);
}

const Version *Catalog::version(const core::AdapterVersion &key) const
{
    const Adapter *owner = adapter(key.adapter);
    if (!owner)
        return nullptr;
    const auto found = std::ranges::find(owner->versions, key.version, &Version::version);
    return found == owner->versions.end() ? nullptr : &*found;
}

const Pool *Catalog::pool(const core::PoolId &name) const
{
    return find(m_pools, name);
}

bool isCaller(const Service &service, const core::CustomerId &customer)
{
    return std::ranges::find(service.callers, customer) != service.callers.end();
}

} // namespace jackdawlead::config
