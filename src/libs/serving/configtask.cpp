#include "serving/configtask.h"

#include "core/error.h"
#include "observability/log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace jackdawlead::serving {

namespace {

constexpr core::Duration retryDelay = std::chrono::seconds(1);
constexpr core::Duration peerTimeout = std::chrono::seconds(2);
// A watch can lose an event without notice. Reading the root twice within the 16 s in which a
// generation must be in force costs one small read for each daemon.
constexpr core::Duration backstopPeriod = std::chrono::seconds(8);
constexpr const char *rootName = "main";

} // namespace

ConfigTask::ConfigTask(Context &context, PeerTask &peers, Subscriber subscriber)
    : m_context(context)
    , m_peers(peers)
    , m_subscriber(std::move(subscriber))
    , m_roots(context.objects, context.timers, objectapi::kinds::configRoots,
              {[this](const std::vector<objectapi::Object> &roots) {
                   for (const objectapi::Object &root : roots)
                       rootListed(root);
               },
               [this](const std::string &type, const objectapi::Object &root) {
                   if (type != "DELETED")
                       rootListed(root);
               },
               [this](const absl::Status &status) {
                   observability::logError(observability::LogLevel::Warn, status);
                   if (!m_current)
                       askAllPeers();
               }})
{
    bindMethods();
}

void ConfigTask::bindMethods()
{
    m_peers.server().bind(peermethods::configRoot, [this](const nlohmann::json &) {
        return nlohmann::json {{"root", m_current ? config::toJson(m_applied) : nlohmann::json()}};
    });
    m_peers.server().bind(peermethods::configPart,
                          [this](const nlohmann::json &params) -> absl::StatusOr<nlohmann::json> {
                              const auto name = params.at("name").get<std::string>();
                              const auto part = m_parts.find(name);
                              if (part == m_parts.end())
                                  return core::makeError(absl::StatusCode::kNotFound, "configPart",
                                                         name, "part " + name + " is not held");
                              return nlohmann::json {{"content", part->second.content}};
                          });
}

void ConfigTask::start()
{
    m_roots.start();
    m_backstop = m_context.timers.every(backstopPeriod, [this] { readRoot(); });
}

void ConfigTask::readRoot()
{
    m_context.objects.read(objectapi::kinds::configRoots, rootName, [this](const auto &root) {
        if (root.ok())
            rootSeen(root->spec);
    });
}

void ConfigTask::generationSeen(core::Generation generation, const core::HostId &host)
{
    if (generation <= m_wanted.generation || generation <= m_requested)
        return;
    m_requested = generation;
    m_context.objects.read(objectapi::kinds::configRoots, rootName,
                           [this, generation, host](const auto &root) {
                               if (root.ok())
                                   rootSeen(root->spec);
                               if (m_wanted.generation < generation)
                                   readRootFromPeer(host);
                           });
}

void ConfigTask::readRootFromPeer(const core::HostId &peer)
{
    const auto address = m_peers.addressOf(peer);
    // A later message of any daemon with the generation starts again.
    if (!address) {
        m_requested = m_wanted.generation;
        return;
    }
    m_peers.client().call(*address, peermethods::configRoot, nlohmann::json::object(), peerTimeout,
                          [this, peer](const absl::StatusOr<nlohmann::json> &reply) {
                              m_requested = m_wanted.generation;
                              if (!reply.ok()) {
                                  observability::logError(observability::LogLevel::Warn,
                                                          reply.status());
                                  return;
                              }
                              const auto root = reply->find("root");
                              if (root == reply->end() || root->is_null())
                                  return;
                              m_source = peer;
                              rootSeen(*root);
                          });
}

void ConfigTask::askAllPeers()
{
    for (const core::HostId &host : m_peers.usableInRegion())
        readRootFromPeer(host);
}

void ConfigTask::rootListed(const objectapi::Object &root)
{
    if (root.name == rootName)
        rootSeen(root.spec);
}

void ConfigTask::rootSeen(const nlohmann::json &spec)
{
    auto root = config::rootFromJson(spec);
    if (!root.ok()) {
        observability::logError(observability::LogLevel::Error, root.status());
        return;
    }
    if (!m_gate.advanceTarget(root->generation))
        return;
    m_wanted = *std::move(root);
    fetchMissingParts();
}

void ConfigTask::fetchMissingParts()
{
    m_partRetry.cancel();
    std::vector<std::string> missing;
    for (const std::string &name : m_wanted.parts)
        if (!m_parts.contains(name))
            missing.push_back(name);
    if (missing.empty()) {
        apply();
        return;
    }
    for (const std::string &name : missing) {
        ++m_fetching;
        m_context.objects.read(objectapi::kinds::configParts, name, [this, name](const auto &part) {
            if (part.ok())
                partFetched(name, part->spec.value("content", std::string()));
            else
                fetchPartFromPeer(name);
        });
    }
}

void ConfigTask::fetchPartFromPeer(const std::string &name)
{
    const std::vector<core::HostId> peers = m_peers.usableInRegion();
    // The source of the root is asked first; if it is gone, the others are asked in turn.
    core::HostId peer = std::exchange(m_source, {});
    if (peer.isEmpty() && !peers.empty())
        peer = peers[m_nextPeer++ % peers.size()];
    const auto address = m_peers.addressOf(peer);
    if (!address) {
        partFetched(name,
                    core::makeError(absl::StatusCode::kUnavailable, "read", name,
                                    "neither the object API nor a daemon answers"));
        return;
    }
    m_peers.client().call(*address, peermethods::configPart, {{"name", name}}, peerTimeout,
                          [this, name](const absl::StatusOr<nlohmann::json> &reply) {
                              if (!reply.ok())
                                  partFetched(name, reply.status());
                              else if (!reply->contains("content")
                                       || !reply->at("content").is_string())
                                  partFetched(name,
                                              core::makeError(absl::StatusCode::kInternal, "read",
                                                              name, "answer has no content"));
                              else
                                  partFetched(name, reply->at("content").get<std::string>());
                          });
}

void ConfigTask::partFetched(const std::string &name, const absl::StatusOr<std::string> &content)
{
    --m_fetching;
    if (!content.ok())
        observability::logError(observability::LogLevel::Warn, content.status());
    else if (config::sha256Hex(*content) == name)
        m_parts[name] = {name, *content};
    if (m_fetching > 0)
        return;
    const bool isComplete = std::ranges::all_of(
        m_wanted.parts, [this](const std::string &part) { return m_parts.contains(part); });
    if (isComplete)
        apply();
    else
        m_partRetry = m_context.timers.once(retryDelay, [this] { fetchMissingParts(); });
}

void ConfigTask::apply()
{
    std::vector<config::ConfigPart> parts;
    for (const std::string &name : m_wanted.parts)
        parts.push_back(m_parts.at(name));
    auto manifest = config::assemble(m_wanted, parts);
    if (!manifest.ok()) {
        observability::logError(observability::LogLevel::Error, manifest.status());
        m_parts.clear();
        m_partRetry = m_context.timers.once(retryDelay, [this] { fetchMissingParts(); });
        return;
    }
    std::erase_if(m_parts, [this](const auto &entry) {
        return std::ranges::find(m_wanted.parts, entry.first) == m_wanted.parts.end();
    });
    if (!m_gate.apply(m_wanted.generation))
        return;
    m_applied = m_wanted;
    m_current = std::make_shared<const config::Catalog>(m_wanted.generation, *std::move(manifest));
    m_context.metrics.setGeneration(m_wanted.generation.value());
    const std::string message
        = "generation " + std::to_string(m_wanted.generation.value()) + " in force";
    observability::log({.step = "apply", .message = message});
    m_subscriber(m_current);
}

} // namespace jackdawlead::serving
