#pragma once

#include "config/catalog.h"
#include "config/release.h"
#include "decisions/generationtracker.h"
#include "objectapi/objectfollower.h"
#include "serving/context.h"
#include "serving/peertask.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jackdawlead::serving {

/// Keeps the newest configuration in force. It reads the root object and its parts from the object
/// API, or from other daemons while the object API does not answer, and publishes a catalog
/// whenever a higher generation has been read completely; it never goes back. Owns the watch on the
/// root. Thread safety: the loop's thread only.
class ConfigTask
{
public:
    using CatalogPtr = std::shared_ptr<const config::Catalog>;
    using Subscriber = std::function<void(CatalogPtr)>;

    ConfigTask(Context &context, PeerTask &peers, Subscriber subscriber);

    void start();
    /// Another daemon has `generation` in force.
    void generationSeen(core::Generation generation, const core::HostId &host);
    /// The catalog in force; null until the first one was read.
    const CatalogPtr &current() const { return m_current; }

private:
    void readRoot();
    /// Another writer may leave roots under names of its own.
    void rootListed(const objectapi::Object &root);
    void rootSeen(const nlohmann::json &spec);
    void readRootFromPeer(const core::HostId &peer);
    void askAllPeers();
    void fetchMissingParts();
    void fetchPartFromPeer(const std::string &name);
    void partFetched(const std::string &name, const absl::StatusOr<std::string> &content);
    void bindMethods();
    void apply();

    Context &m_context;
    PeerTask &m_peers;
    Subscriber m_subscriber;
    CatalogPtr m_current;
    decisions::GenerationTracker m_gate;
    config::ConfigRoot m_wanted;
    config::ConfigRoot m_applied;
    core::HostId m_source; ///< The daemon that last announced the wanted generation.
    std::size_t m_nextPeer = 0;
    core::Generation m_requested; ///< Highest generation that was asked for after an announcement.
    std::map<std::string, config::ConfigPart> m_parts;
    int m_fetching = 0;
    objectapi::ObjectFollower m_roots;
    net::TimerService::Subscription m_backstop;
    net::TimerService::Subscription m_partRetry;
};

} // namespace jackdawlead::serving
