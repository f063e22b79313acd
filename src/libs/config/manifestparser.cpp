#include "config/manifest.h"

#include "config/yamlreader.h"
#include "core/error.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace jackdawlead::config {

namespace {

class ManifestParser
{
public:
    explicit ManifestParser(FaultList &faults)
        : m_faults(faults)
    { }

    Manifest parse(const YAML::Node &root)
    {
        YamlReader reader(root, "manifest", m_faults);
        reader.allowKeys(
            {"apiVersion", "release", "models", "pools", "customers", "adapters", "services"});
        if (reader.text("apiVersion") != "jackdawlead/v1")
            reader.fault("apiVersion",
                         "must be jackdawlead/v1, got '" + reader.text("apiVersion", "") + "'");
        m_manifest.release = reader.text("release");
        for (const YamlReader &item : reader.items("models"))
            parseModel(item);
        for (const YamlReader &item : reader.items("pools"))
            parsePool(item);
        for (const YamlReader &item : reader.items("customers"))
            parseCustomer(item);
        for (const YamlReader &item : reader.items("adapters"))
            parseAdapter(item);
        for (const YamlReader &item : reader.items("services"))
            parseService(item);
        return std::move(m_manifest);
    }

private:
    std::string uniqueName(const YamlReader &item, std::set<std::string> &names)
    {
        std::string name = item.text("name");
        if (name.find_first_of("@/ ") != std::string::npos)
            item.fault("name", "must not contain '@', '/' or a space, got '" + name + "'");
        if (!name.empty() && !names.insert(name).second)
            item.fault("name", "duplicate name '" + name + "'");
        return name;
    }

    void checkKnown(const YamlReader &item, const char *key, const std::string &name,
                    const std::set<std::string> &names)
    {
        if (!name.empty() && !names.contains(name))
            item.fault(key, "unknown reference '" + name + "'; must be the name of another entry");
    }

    // Engines serve a request only through an adapter of their model; plain services have none.
    void checkAdapters(const YamlReader &item, const Service &service)
    {
        const auto pool = std::ranges::find(m_manifest.pools, service.pool, &Pool::name);
        if (pool == m_manifest.pools.end())
            return;
        if (pool->kind == PoolKind::Plain) {
            if (!service.adapters.empty())
                item.fault("adapters",
                           "must be empty, since pool '" + pool->name.value() + "' is plain; got "
                               + std::to_string(service.adapters.size()) + " adapters");
            return;
        }
        if (service.adapters.empty())
            item.fault("adapters",
                       "must list at least one adapter, since pool '" + pool->name.value()
                           + "' is of kind engine");
        for (const core::AdapterId &name : service.adapters) {
            const auto model = m_modelOfAdapter.find(name);
            if (model != m_modelOfAdapter.end() && model->second != pool->model)
                item.fault("adapters",
                           "adapter '" + name.value() + "' is of model '" + model->second.value()
                               + "', but pool '" + pool->name.value() + "' serves model '"
                               + pool->model.value() + "'");
        }
    }

    void parseModel(const YamlReader &item)
    {
        item.allowKeys({"name"});
        m_manifest.models.emplace_back(uniqueName(item, m_models));
    }

    void parsePool(const YamlReader &item)
    {
        item.allowKeys(
            {"name", "kind", "model", "slots", "checksFencing", "needsCredential", "stallWeight"});
        Pool pool;
        pool.name = core::PoolId(uniqueName(item, m_pools));
        const std::string kind = item.text("kind");
        if (kind != "engine" && kind != "plain")
            item.fault("kind", "must be engine or plain, got '" + kind + "'");
        pool.kind = kind == "plain" ? PoolKind::Plain : PoolKind::Engine;
        if (pool.kind == PoolKind::Engine) {
            pool.model = core::ModelId(item.text("model"));
            checkKnown(item, "model", pool.model.value(), m_models);
            pool.slots = static_cast<int>(item.integer("slots", 1, 4096));
        }
        pool.checksFencing = item.boolean("checksFencing", false);
        pool.needsCredential = item.boolean("needsCredential", false);
        pool.stallWeight = item.number("stallWeight", 0.0, 1.0, 0.5);
        m_manifest.pools.push_back(std::move(pool));
    }

    void parseCustomer(const YamlReader &item)
    {
        item.allowKeys({"name", "tokenDigests"});
        Customer customer;
        customer.name = core::CustomerId(uniqueName(item, m_customers));
        customer.tokenDigests = item.texts("tokenDigests");
        for (const std::string &digest : customer.tokenDigests) {
            const bool isHex = digest.find_first_not_of("0123456789abcdef") == std::string::npos;
            if (digest.size() != 64 || !isHex)
                item.fault("tokenDigests",
                           "must be 64 lower-case hexadecimal digits, got "
                               + std::to_string(digest.size()) + " characters");
            if (!m_digests.insert(digest).second)
                item.fault("tokenDigests", "digest is used by another customer");
        }
        m_manifest.customers.push_back(std::move(customer));
    }

    void parseAdapter(const YamlReader &item)
    {
        item.allowKeys({"name", "model", "versions"});
        Adapter adapter;
        adapter.name = core::AdapterId(uniqueName(item, m_adapters));
        adapter.model = core::ModelId(item.text("model"));
        checkKnown(item, "model", adapter.model.value(), m_models);
        std::set<std::string> versions;
        for (const YamlReader &entry : item.items("versions")) {
            entry.allowKeys({"version", "source"});
            Version version {entry.text("version"), entry.text("source")};
            if (!versions.insert(version.version).second)
                entry.fault("version", "duplicate version '" + version.version + "'");
            adapter.versions.push_back(std::move(version));
        }
        if (adapter.versions.empty())
            item.fault("versions", "must list at least one version");
        m_modelOfAdapter.emplace(adapter.name, adapter.model);
        m_manifest.adapters.push_back(std::move(adapter));
    }

    void parseService(const YamlReader &item)
    {
        item.allowKeys({"name", "pool", "adapters", "callers", "repeatable"});
        Service service;
        service.name = core::ServiceId(uniqueName(item, m_services));
        service.pool = core::PoolId(item.text("pool"));
        checkKnown(item, "pool", service.pool.value(), m_pools);
        for (const std::string &name : item.optionalTexts("adapters")) {
            checkKnown(item, "adapters", name, m_adapters);
            service.adapters.emplace_back(name);
        }
        for (const std::string &name : item.texts("callers")) {
            checkKnown(item, "callers", name, m_customers);
            service.callers.emplace_back(name);
        }
        service.isRepeatable = item.boolean("repeatable", true);
        checkAdapters(item, service);
        m_manifest.services.push_back(std::move(service));
    }

    FaultList &m_faults;
    Manifest m_manifest;
    std::set<std::string> m_models;
    std::set<std::string> m_pools;
    std::set<std::string> m_customers;
    std::set<std::string> m_digests;
    std::set<std::string> m_adapters;
    std::set<std::string> m_services;
    std::unordered_map<core::AdapterId, core::ModelId> m_modelOfAdapter;
};

} // namespace

absl::StatusOr<Manifest> parseManifest(const std::string &yaml, const std::string &source)
{
    FaultList faults(source);
    const auto root = loadYaml(yaml, faults);
    if (!root.ok())
        return core::makeError(absl::StatusCode::kInvalidArgument, "validate", source,
                               std::string(root.status().message()));
    Manifest manifest = ManifestParser(faults).parse(*root);
    if (!faults.isEmpty())
        return core::makeError(absl::StatusCode::kInvalidArgument, "validate", source,
                               faults.toString());
    return manifest;
}

} // namespace jackdawlead::config
