#include "config/manifest.h"

#include "core/error.h"

namespace jackdawlead::config {

namespace {

using nlohmann::json;

template <typename IdType> std::vector<std::string> values(const std::vector<IdType> &ids)
{
    std::vector<std::string> texts;
    texts.reserve(ids.size());
    for (const IdType &id : ids)
        texts.push_back(id.value());
    return texts;
}

template <typename IdType> std::vector<IdType> ids(const json &texts)
{
    std::vector<IdType> result;
    result.reserve(texts.size());
    for (const json &text : texts)
        result.emplace_back(text.get<std::string>());
    return result;
}

json poolToJson(const Pool &pool)
{
    return {{"name", pool.name.value()},
            {"kind", pool.kind == PoolKind::Engine ? "engine" : "plain"},
            {"model", pool.model.value()},
            {"slots", pool.slots},
            {"checksFencing", pool.checksFencing},
            {"needsCredential", pool.needsCredential},
            {"stallWeight", pool.stallWeight}};
}

Pool poolFromJson(const json &item)
{
    Pool pool;
    pool.name = core::PoolId(item.at("name"));
    pool.kind = item.at("kind") == "engine" ? PoolKind::Engine : PoolKind::Plain;
    pool.model = core::ModelId(item.at("model"));
    pool.slots = item.at("slots");
    pool.checksFencing = item.at("checksFencing");
    pool.needsCredential = item.at("needsCredential");
    pool.stallWeight = item.at("stallWeight");
    return pool;
}

json adapterToJson(const Adapter &adapter)
{
    json versions = json::array();
    for (const Version &version : adapter.versions)
        versions.push_back({{"version", version.version}, {"source", version.source}});
    return {{"name", adapter.name.value()},
            {"model", adapter.model.value()},
            {"versions", std::move(versions)}};
}

Adapter adapterFromJson(const json &item)
{
    Adapter adapter;
    adapter.name = core::AdapterId(item.at("name"));
    adapter.model = core::ModelId(item.at("model"));
    for (const json &version : item.at("versions"))
        adapter.versions.push_back({version.at("version"), version.at("source")});
    return adapter;
}

json serviceToJson(const Service &service)
{
    return {{"name", service.name.value()},
            {"pool", service.pool.value()},
            {"adapters", values(service.adapters)},
            {"callers", values(service.callers)},
            {"repeatable", service.isRepeatable}};
}

Service serviceFromJson(const json &item)
{
    Service service;
    service.name = core::ServiceId(item.at("name"));
    service.pool = core::PoolId(item.at("pool"));
    service.adapters = ids<core::AdapterId>(item.at("adapters"));
    service.callers = ids<core::CustomerId>(item.at("callers"));
    service.isRepeatable = item.at("repeatable");
    return service;
}

} // namespace

json toJson(const Manifest &manifest)
{
    json result {{"release", manifest.release}, {"models", values(manifest.models)},
                 {"pools", json::array()},      {"customers", json::array()},
                 {"adapters", json::array()},   {"services", json::array()}};
    for (const Pool &pool : manifest.pools)
        result["pools"].push_back(poolToJson(pool));
    for (const Customer &customer : manifest.customers)
        result["customers"].push_back(
            {{"name", customer.name.value()}, {"tokenDigests", customer.tokenDigests}});
    for (const Adapter &adapter : manifest.adapters)
        result["adapters"].push_back(adapterToJson(adapter));
    for (const Service &service : manifest.services)
        result["services"].push_back(serviceToJson(service));
    return result;
}

absl::StatusOr<Manifest> manifestFromJson(const json &source)
{
    try {
        Manifest manifest;
        manifest.release = source.at("release");
        manifest.models = ids<core::ModelId>(source.at("models"));
        for (const json &item : source.at("pools"))
            manifest.pools.push_back(poolFromJson(item));
        for (const json &item : source.at("customers"))
            manifest.customers.push_back(
                {core::CustomerId(item.at("name")), item.at("tokenDigests")});
        for (const json &item : source.at("adapters"))
            manifest.adapters.push_back(adapterFromJson(item));
        for (const json &item : source.at("services"))
            manifest.services.push_back(serviceFromJson(item));
        return manifest;
    } catch (const json::exception &error) {
        return core::makeError(absl::StatusCode::kInvalidArgument, "decode", "configuration",
                               error.what());
    }
}

} // namespace jackdawlead::config
