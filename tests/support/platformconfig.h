#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace jackdawlead::testsupport {

using nlohmann::json;

/// A route of a configuration, in the format in which the operator writes it to the store.
inline json route(const std::string &prefix, const std::string &service, const std::string &kind,
                  bool isResumable = false, int timeoutMilliseconds = 4000)
{
    return {{"name", prefix},
            {"host", "a.example"},
            {"path_prefix", prefix},
            {"kind", kind},
            {"service", service},
            {"timeout_ms", timeoutMilliseconds},
            {"target_latency_ms", 800},
            {"max_attempts", 2},
            {"priority", 1},
            {"resumable", isResumable},
            {"gap_target_ms", 250}};
}

/// The spec of `config/main`.
inline json configuration(int version, const json &routes)
{
    const json engine {
        {"slots", 8},
        {"adapter_slots", 4},
        {"weights_mb", 1000},
        {"loads_per_s", 5},
        {"models", {{{"name", "base"}, {"weights_mb", 500}, {"load_s", 1}, {"adapter_mb", 10}}}}};
    return {{"version", version},
            {"routes", routes},
            {"services",
             {{{"name", "plain"}, {"max_conns", 100}, {"health_path", "/health"}},
              {{"name", "other"}, {"max_conns", 100}, {"health_path", "/health"}},
              {{"name", "model"}, {"max_conns", 100}, {"engine", engine}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 100000},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

/// Routes for each kind of request, with a short timeout for /short/.
inline json defaultRoutes()
{
    return {route("/get/", "plain", "idempotent"), route("/order/", "plain", "non_idempotent"),
            route("/short/", "plain", "idempotent", false, 700),
            route("/stream/", "model", "stream", true), route("/once/", "model", "stream", false)};
}

} // namespace jackdawlead::testsupport
