#pragma once

#include "fleet/hostsettings.h"
#include "gateway/objectlister.h"
#include "net/httpmessage.h"
#include "net/timerservice.h"
#include "platform/objectstoreclient.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace jackdawlead::gateway {

/// The daemons that send requests for others, as they state it in the store. Used while the
/// coordinator, which is of an earlier release, does not tell the daemons of each other; costs
/// nothing otherwise. Thread safety: the event loop's thread only.
class PeerDirectory
{
public:
    /// Receives the daemons to use, the preferred ones first.
    using PeersHandler = std::function<void(std::vector<net::Address>)>;

    /// `settings` must outlive the object.
    PeerDirectory(platform::ObjectStoreClient &store, net::TimerService &timers,
                  const fleet::HostSettings &settings, net::Address self, PeersHandler onPeers);
    ~PeerDirectory();
    PeerDirectory(const PeerDirectory &) = delete;
    PeerDirectory &operator=(const PeerDirectory &) = delete;

    /// While it is needed, the daemon has an entry, and reads those of the others.
    void setNeeded(bool isNeeded);
    /// Removes the entry of this daemon, which stops.
    void withdraw();
    /// Removes the entries of hosts without a daemon, which were not withdrawn.
    void removeAllBut(std::set<core::HostId> hosts);

    static constexpr core::Duration readPeriod = std::chrono::seconds(3);

private:
    struct Entry
    {
        core::HostId host;
        core::FailureDomainId domain;
        net::Address address;
    };
    using EntriesHandler = std::function<void(const std::vector<platform::StoredObject> &)>;

    nlohmann::json ownEntry() const;
    static std::optional<Entry> decode(const platform::StoredObject &object);
    void update();
    void enter();
    void replace(const platform::StoredObject &object);
    void remove(const platform::StoredObject &object);
    /// Reads all entries; the handler is not called after an error, which the next period corrects.
    void readAll(EntriesHandler handler);
    void apply(const std::vector<platform::StoredObject> &objects);

    platform::ObjectStoreClient &m_store;
    const fleet::HostSettings &m_settings;
    net::TimerService &m_timers;
    net::Address m_self;
    PeersHandler m_onPeers;
    ObjectLister m_lister;
    bool m_isNeeded = false;
    bool m_isEntered = false;
    bool m_isWithdrawn = false; ///< For good.
    bool m_isReading = false;
    net::TimerService::Subscription m_timer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
