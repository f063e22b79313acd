#pragma once

#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/timerservice.h"
#include "objectapi/objectclient.h"

#include <optional>
#include <utility>

namespace jackdawlead::tools {

/// Calls the object API and daemons synchronously, on its own event loop.
/// Thread safety: one thread.
class SyncClient
{
public:
    explicit SyncClient(const net::Address &objectApi)
        : m_timers(m_loop)
        , m_http(m_loop, m_timers)
        , m_objects(m_http, objectApi)
    { }

    /// Passes a completion handler to `start` and returns the value that the handler receives.
    template <typename Result, typename Start> Result wait(Start start)
    {
        std::optional<Result> result;
        start([this, &result](Result value) {
            result.emplace(std::move(value));
            m_loop.stop();
        });
        m_loop.run();
        return std::move(*result);
    }

    absl::StatusOr<objectapi::Object> read(const std::string &kind, const std::string &name)
    {
        return wait<absl::StatusOr<objectapi::Object>>(
            [&](auto handler) { m_objects.read(kind, name, handler); });
    }
    absl::StatusOr<objectapi::Object> create(const std::string &kind, const std::string &name,
                                             const nlohmann::json &spec)
    {
        return wait<absl::StatusOr<objectapi::Object>>(
            [&](auto handler) { m_objects.create(kind, name, spec, handler); });
    }
    absl::StatusOr<objectapi::Object> update(const std::string &kind,
                                             const objectapi::Object &object)
    {
        return wait<absl::StatusOr<objectapi::Object>>(
            [&](auto handler) { m_objects.update(kind, object, handler); });
    }
    absl::StatusOr<net::HttpResponse> send(const net::Address &peer,
                                           const net::HttpRequest &request)
    {
        return wait<absl::StatusOr<net::HttpResponse>>(
            [&](auto handler) { m_http.send(peer, request, {}, handler); });
    }

private:
    net::EventLoop m_loop;
    net::TimerService m_timers;
    net::HttpClient m_http;
    objectapi::ObjectClient m_objects;
};

} // namespace jackdawlead::tools
