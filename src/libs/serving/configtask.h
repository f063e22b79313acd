#pragma once

#include "config/catalog.h"
#include "config/release.h"
#include "platform/objectfollower.h"
#include "serving/context.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jackdawlead::serving {

/// Keeps the newest configuration in force. It reads the root object and its parts from the object
/// API, and publishes a catalog whenever a higher generation has been read completely; it never
/// goes back. Owns the watch on the root. Thread safety: the loop's thread only.
class ConfigTask
{
public:
    using CatalogPtr = std::shared_ptr<const config::Catalog>;
    using Subscriber = std::function<void(CatalogPtr)>;

    ConfigTask(Context &context, Subscriber subscriber);

    void start();
    /// The catalog in force; null until the first one was read.
    const CatalogPtr &current() const { return m_current; }

private:
    void readRoot();
    void rootSeen(const platform::Object &object);
    void fetchMissingParts();
    void apply();

    Context &m_context;
    Subscriber m_subscriber;
    CatalogPtr m_current;
    config::ConfigRoot m_wanted;
    std::map<std::string, config::ConfigPart> m_parts;
    int m_fetching = 0;
    platform::ObjectFollower m_roots;
    net::TimerService::Subscription m_backstop;
    net::TimerService::Subscription m_partRetry;
};

} // namespace jackdawlead::serving
