#include "serving/configtask.h"

#include "observability/log.h"

#include <algorithm>
#include <vector>

namespace jackdawlead::serving {

namespace {

constexpr core::Duration retryDelay = std::chrono::seconds(1);
// A watch can lose an event without notice. Reading the root twice within the 16 s in which a
// generation must be in force costs one small read for each daemon.
constexpr core::Duration backstopPeriod = std::chrono::seconds(8);
constexpr const char *rootName = "main";

} // namespace

ConfigTask::ConfigTask(Context &context, Subscriber subscriber)
    : m_context(context)
    , m_subscriber(std::move(subscriber))
    , m_roots(context.objects, context.timers, platform::kinds::configRoots,
              {[this](const std::vector<platform::Object> &roots) {
                   for (const platform::Object &root : roots)
                       rootSeen(root);
               },
               [this](const std::string &type, const platform::Object &root) {
                   if (type != "DELETED")
                       rootSeen(root);
               },
               [](const absl::Status &status) {
                   observability::logError(observability::LogLevel::Warn, status);
               }})
{ }

void ConfigTask::start()
{
    m_roots.start();
    m_backstop = m_context.timers.every(backstopPeriod, [this] { readRoot(); });
}

void ConfigTask::readRoot()
{
    m_context.objects.read(platform::kinds::configRoots, rootName, [this](const auto &root) {
        if (root.ok())
            rootSeen(*root);
    });
}

void ConfigTask::rootSeen(const platform::Object &object)
{
    auto root = config::rootFromJson(object.spec);
    if (!root.ok()) {
        observability::logError(observability::LogLevel::Error, root.status());
        return;
    }
    if (root->generation <= m_wanted.generation)
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
        m_context.objects.read(platform::kinds::configParts, name, [this, name](const auto &part) {
            --m_fetching;
            if (part.ok())
                m_parts[name] = {name, part->spec.value("content", std::string())};
            else
                observability::logError(observability::LogLevel::Warn, part.status());
            if (m_fetching > 0)
                return;
            const bool isComplete = std::ranges::all_of(
                m_wanted.parts, [this](const std::string &part) { return m_parts.contains(part); });
            if (isComplete)
                apply();
            else
                m_partRetry = m_context.timers.once(retryDelay, [this] { fetchMissingParts(); });
        });
    }
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
    m_current = std::make_shared<const config::Catalog>(m_wanted.generation, *std::move(manifest));
    m_context.metrics.setGeneration(m_wanted.generation.value());
    const std::string message
        = "generation " + std::to_string(m_wanted.generation.value()) + " in force";
    observability::log({.step = "apply", .message = message});
    m_subscriber(m_current);
}

} // namespace jackdawlead::serving
