#pragma once

#include "core/time.h"
#include "http/controlclient.h"

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jackdawlead::platform {

/// The kinds of object that the product uses.
enum class ObjectKind { Configuration, Endpoints, AdapterVersions, Leases };

using Revision = std::uint64_t;

struct StoredObject
{
    std::string name;
    Revision revision = 0;
    nlohmann::json spec;
};

struct ObjectPage
{
    std::vector<StoredObject> items;
    bool hasMore = false;
    Revision revision = 0; ///< Of the whole store when the page was read.
};

struct ObjectEvent
{
    StoredObject object;
    bool isRemoved = false;
};

struct ObjectEvents
{
    std::vector<ObjectEvent> events;
    Revision revision = 0; ///< Where the next watch goes on.
};

/// A conditional write that was refused because the object differs from what was expected.
struct WriteResult
{
    bool isWritten = false;
    std::optional<StoredObject> object; ///< As it is now.
};

/// A wait for changes of a kind after a revision.
struct WatchRequest
{
    ObjectKind kind = ObjectKind::Configuration;
    Revision since = 0;
    core::Duration wait {}; ///< After it the store answers without a change.
};

/// The path under which the store has the objects of a kind.
std::string collectionPath(ObjectKind kind);

/// The calls of the platform's store. Errors of all calls: kNotFound (the object does not exist),
/// kOutOfRange (the history behind a watch is gone), kResourceExhausted (the rate is used up),
/// kUnavailable and kDeadlineExceeded; a write that ends with one of the last two may have taken
/// effect, or may take effect later, unless the status says NotRun. Thread safety: the loop's
/// thread only.
class ObjectStoreClient
{
public:
    template <typename Result> using Handler = std::function<void(absl::StatusOr<Result>)>;

    /// Makes one call to the store, on whatever way.
    using Transport = std::function<void(const net::HttpRequest &, core::Duration timeout,
                                         http::ControlClient::Handler)>;

    /// Makes one watch; it ends `margin` after its wait at the latest.
    using WatchTransport = std::function<void(const WatchRequest &, core::Duration margin,
                                              http::ControlClient::Handler)>;

    ObjectStoreClient(Transport call, WatchTransport watch);

    void list(ObjectKind kind, const std::string &after, Handler<ObjectPage> handler);
    void read(ObjectKind kind, const std::string &name, Handler<StoredObject> handler);
    /// Waits up to `wait` for changes after `since`.
    void watch(ObjectKind kind, Revision since, core::Duration wait, Handler<ObjectEvents> handler);
    void create(ObjectKind kind, const std::string &name, const nlohmann::json &spec,
                Handler<WriteResult> handler);
    /// Replaces the object if it still has `object.revision`.
    void replace(ObjectKind kind, const StoredObject &object, Handler<WriteResult> handler);

private:
    void write(ObjectKind kind, const std::string &method, const std::string &path,
               const nlohmann::json &body, Handler<WriteResult> handler);

    Transport m_call;
    WatchTransport m_watch;
};

/// An object as the store has it in its answers and takes it in calls.
nlohmann::json encodeObject(const StoredObject &object);
/// Errors: kInvalidArgument, the text is no object.
absl::StatusOr<StoredObject> parseObject(const std::string &text);

} // namespace jackdawlead::platform
