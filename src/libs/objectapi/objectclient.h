#pragma once

#include "net/httpclient.h"
#include "net/requesttarget.h"

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jackdawlead::objectapi {

/// The kinds of object that the project keeps; the text is the plural of the resource path.
namespace kinds {
inline constexpr const char *configRoots = "configroots";
inline constexpr const char *configParts = "configparts";
inline constexpr const char *hostLeases = "hostleases";
inline constexpr const char *endpointOwners = "endpointowners";
inline constexpr const char *claims = "claims";
} // namespace kinds

/// An object with the version at which it was read.
struct Object
{
    std::string name;
    std::string resourceVersion;
    nlohmann::json spec;
};

struct ObjectList
{
    std::string resourceVersion;
    std::vector<Object> items;
};

/// Speaks the platform's object API: versioned objects, conditional updates, lists and watches.
/// Objects that cannot be read are left out of lists and watches. Every error carries the step
/// (`create`, `read`, `update`, `remove`, `list`, `watch`) and the peer. Codes: kNotFound,
/// kAlreadyExists (create), kAborted (a conditional update lost), kUnavailable and
/// kDeadlineExceeded (no answer; a write may have taken effect unless the outcome is NotRun).
/// Thread safety: the loop's thread only.
class ObjectClient
{
public:
    using ObjectHandler = std::function<void(absl::StatusOr<Object>)>;
    using ListHandler = std::function<void(absl::StatusOr<ObjectList>)>;

    ObjectClient(net::HttpClient &http, net::Address server);

    void create(const std::string &kind, const std::string &name, const nlohmann::json &spec,
                ObjectHandler handler);
    void read(const std::string &kind, const std::string &name, ObjectHandler handler);
    /// Replaces the object if it still has `resourceVersion`.
    void update(const std::string &kind, const Object &object, ObjectHandler handler);
    /// Deletes the object if it still has its resource version.
    void remove(const std::string &kind, const Object &object, ObjectHandler handler);
    void list(const std::string &kind, ListHandler handler);

    /// Reports every change after `resourceVersion` until the server ends the watch. `onEnd` is
    /// called once; on any end the caller lists again, since events may have been lost.
    [[nodiscard]] net::HttpCall
    watch(const std::string &kind, const std::string &resourceVersion, core::Duration timeout,
          std::function<void(const std::string &type, const Object &object)> onEvent,
          std::function<void(const absl::Status &status)> onEnd);

    /// Calls sent since the start, waiting watches included.
    std::uint64_t callCount() const { return m_callCount; }

private:
    void send(const char *step, net::HttpRequest request, ObjectHandler handler);
    static net::RequestTarget target(const std::string &kind, const std::string &name = {});

    net::HttpClient &m_http;
    net::Address m_server;
    std::uint64_t m_callCount = 0;
};

} // namespace jackdawlead::objectapi
