#include "config/manifest.h"

#include "config/release.h"
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
    explicit ManifestParser(ValidationErrors &errors)
        : m_errors(errors)
    { }

    Manifest parse(const YAML::Node &root)
    {
        YamlReader reader(root, "manifest", m_errors);
        reader.allowKeys(
            {"apiVersion", "release", "models", "pools", "customers", "adapters", "services"});
        if (reader.text("apiVersion") != "jackdawlead/v1")
            reader.addError("apiVersion",
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
    std::string readUniqueName(const YamlReader &item, std::set<std::string> &names)
    {
        std::string name = item.text("name");
        if (name.find_first_of("@/ ") != std::string::npos)
            item.addError("name", "must not contain '@', '/' or a space, got '" + name + "'");
        if (!name.empty() && !names.insert(name).second)
            item.addError("name", "duplicate name '" + name + "'");
        return name;
    }

    void checkReference(const YamlReader &item, const char *key, const std::string &name,
                        const std::set<std::string> &names)
    {
        if (!name.empty() && !names.contains(name))
            item.addError(key,
                          "unknown reference '" + name + "'; must be the name of another entry");
    }

    // An entry must fit into one part, because manifests are split between entries only. Short
    // lists are far below the limit, so their stored size is not computed.
    static void checkPartSize(const YamlReader &item, const char *key, std::size_t elements,
                              const Manifest &entry, const char *section)
    {
        constexpr std::size_t maxUncheckedElements = 1000;
        if (elements <= maxUncheckedElements)
            return;
        const std::size_t bytes = storedBytes(toJson(entry).at(section).front());
        if (bytes > maxPartBytes)
            item.addError(key,
                          "the entry takes " + std::to_string(bytes)
                              + " bytes when stored; a part holds at most "
                              + std::to_string(maxPartBytes) + "; split the entry");
    }

    // Engines serve requests only through adapters of their model; plain services have no adapters.
    void checkAdapters(const YamlReader &item, const Service &service)
    {
        const auto pool = std::ranges::find(m_manifest.pools, service.pool, &Pool::name);
        if (pool == m_manifest.pools.end())
            return;
        if (pool->kind == PoolKind::Plain) {
            if (!service.adapters.empty())
                item.addError("adapters",
                              "must be empty, since pool '" + pool->name.value()
                                  + "' is plain; got " + std::to_string(service.adapters.size())
                                  + " adapters");
            return;
        }
        if (service.adapters.empty())
            item.addError("adapters",
                          "must list at least one adapter, since pool '" + pool->name.value()
                              + "' is of kind engine");
        for (const core::AdapterId &name : service.adapters) {
            const auto model = m_modelsByAdapter.find(name);
            if (model != m_modelsByAdapter.end() && model->second != pool->model)
                item.addError("adapters",
                              "adapter '" + name.value() + "' is of model '" + model->second.value()
                                  + "', but pool '" + pool->name.value() + "' serves model '"
                                  + pool->model.value() + "'");
        }
    }

    void parseModel(const YamlReader &item)
    {
        item.allowKeys({"name"});
        m_manifest.models.emplace_back(readUniqueName(item, m_modelNames));
    }

    void parsePool(const YamlReader &item)
    {
        item.allowKeys(
            {"name", "kind", "model", "slots", "checksFencing", "needsCredential", "stallWeight"});
        Pool pool;
        pool.name = core::PoolId(readUniqueName(item, m_poolNames));
        const std::string kind = item.text("kind");
        if (kind != "engine" && kind != "plain")
            item.addError("kind", "must be engine or plain, got '" + kind + "'");
        pool.kind = kind == "plain" ? PoolKind::Plain : PoolKind::Engine;
        if (pool.kind == PoolKind::Engine) {
            pool.model = core::ModelId(item.text("model"));
            checkReference(item, "model", pool.model.value(), m_modelNames);
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
        customer.name = core::CustomerId(readUniqueName(item, m_customerNames));
        customer.tokenDigests = item.texts("tokenDigests");
        for (const std::string &digest : customer.tokenDigests) {
            const bool isHex = digest.find_first_not_of("0123456789abcdef") == std::string::npos;
            if (digest.size() != 64 || !isHex)
                item.addError("tokenDigests",
                              "must be 64 lower-case hexadecimal digits, got "
                                  + std::to_string(digest.size()) + " characters");
            if (!m_tokenDigests.insert(digest).second)
                item.addError("tokenDigests", "duplicate digest");
        }
        Manifest entry;
        entry.customers = {customer};
        checkPartSize(item, "tokenDigests", customer.tokenDigests.size(), entry, "customers");
        m_manifest.customers.push_back(std::move(customer));
    }

    void parseAdapter(const YamlReader &item)
    {
        item.allowKeys({"name", "model", "versions"});
        Adapter adapter;
        adapter.name = core::AdapterId(readUniqueName(item, m_adapterNames));
        adapter.model = core::ModelId(item.text("model"));
        checkReference(item, "model", adapter.model.value(), m_modelNames);
        std::set<std::string> versions;
        for (const YamlReader &entry : item.items("versions")) {
            entry.allowKeys({"version", "source"});
            Version version {entry.text("version"), entry.text("source")};
            if (!versions.insert(version.version).second)
                entry.addError("version", "duplicate version '" + version.version + "'");
            adapter.versions.push_back(std::move(version));
        }
        if (adapter.versions.empty())
            item.addError("versions", "must list at least one version");
        m_modelsByAdapter.emplace(adapter.name, adapter.model);
        m_manifest.adapters.push_back(std::move(adapter));
    }

    void parseService(const YamlReader &item)
    {
        item.allowKeys({"name", "pool", "adapters", "callers", "repeatable"});
        Service service;
        service.name = core::ServiceId(readUniqueName(item, m_serviceNames));
        service.pool = core::PoolId(item.text("pool"));
        checkReference(item, "pool", service.pool.value(), m_poolNames);
        for (const std::string &name : item.optionalTexts("adapters")) {
            checkReference(item, "adapters", name, m_adapterNames);
            service.adapters.emplace_back(name);
        }
        for (const std::string &name : item.texts("callers")) {
            checkReference(item, "callers", name, m_customerNames);
            service.callers.emplace_back(name);
        }
        service.isRepeatable = item.boolean("repeatable", true);
        checkAdapters(item, service);
        Manifest entry;
        entry.services = {service};
        checkPartSize(item, "adapters", service.adapters.size() + service.callers.size(), entry,
                      "services");
        m_manifest.services.push_back(std::move(service));
    }

    ValidationErrors &m_errors;
    Manifest m_manifest;
    std::set<std::string> m_modelNames;
    std::set<std::string> m_poolNames;
    std::set<std::string> m_customerNames;
    std::set<std::string> m_tokenDigests;
    std::set<std::string> m_adapterNames;
    std::set<std::string> m_serviceNames;
    std::unordered_map<core::AdapterId, core::ModelId> m_modelsByAdapter;
};

} // namespace

absl::StatusOr<Manifest> parseManifest(const std::string &yaml, const std::string &source)
{
    ValidationErrors errors(source);
    const auto root = loadYaml(yaml, errors);
    if (!root.ok())
        return core::makeError(absl::StatusCode::kInvalidArgument, "validate", source,
                               std::string(root.status().message()));
    Manifest manifest = ManifestParser(errors).parse(*root);
    if (!errors.isEmpty())
        return core::makeError(absl::StatusCode::kInvalidArgument, "validate", source,
                               errors.toString());
    return manifest;
}

} // namespace jackdawlead::config
