#include "gateway/peerdirectory.h"

#include "decisions/forwarderselection.h"
#include "observability/log.h"
#include "platform/decoder.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <utility>

namespace jackdawlead::gateway {

namespace {

constexpr platform::ObjectKind kind = platform::ObjectKind::Daemons;
constexpr std::size_t maxPeers = 6;

} // namespace

PeerDirectory::PeerDirectory(platform::ObjectStoreClient &store, net::TimerService &timers,
                             const fleet::HostSettings &settings, net::Address self,
                             PeersHandler onPeers)
    : m_store(store)
    , m_settings(settings)
    , m_timers(timers)
    , m_self(std::move(self))
    , m_onPeers(std::move(onPeers))
    , m_lister(store, timers, kind)
{ }

PeerDirectory::~PeerDirectory()
{
    *m_isAlive = false;
}

void PeerDirectory::setNeeded(bool isNeeded)
{
    if (m_isWithdrawn || std::exchange(m_isNeeded, isNeeded) == isNeeded)
        return;
    if (!isNeeded) {
        m_timer.cancel();
        return;
    }
    observability::log({.step = "peers",
                        .message = "the coordinator does not state daemons that send requests for "
                                   "others; they are read from the store"});
    m_timer = m_timers.every(readPeriod, [this] { update(); });
    update();
}

void PeerDirectory::update()
{
    if (!m_isEntered)
        enter();
    if (std::exchange(m_isReading, true))
        return;
    readAll([this](const auto &objects) { apply(objects); });
}

nlohmann::json PeerDirectory::ownEntry() const
{
    return {{"address", m_self.toString()}, {"domain", m_settings.domain.value()}};
}

std::optional<PeerDirectory::Entry> PeerDirectory::decode(const platform::StoredObject &object)
{
    const auto text = [&object](const char *field) {
        const auto found = object.spec.is_object() ? object.spec.find(field) : object.spec.end();
        return found != object.spec.end() && found->is_string() ? found->get<std::string>()
                                                                : std::string();
    };
    auto address = platform::decodeAddress(text("address"));
    if (!address.ok())
        return std::nullopt;
    return Entry {core::HostId(object.name), core::FailureDomainId(text("domain")),
                  *std::move(address)};
}

void PeerDirectory::enter()
{
    m_store.create(kind, m_settings.host.value(), ownEntry(),
                   [this, alive = m_isAlive](const auto &result) {
                       if (!*alive || !result.ok())
                           return;
                       m_isEntered = result->isWritten
                           || (result->object && result->object->spec == ownEntry());
                       if (m_isWithdrawn && result->isWritten && result->object)
                           remove(*result->object);
                       else if (!m_isEntered && !m_isWithdrawn && result->object)
                           replace(*result->object);
                   });
}

void PeerDirectory::replace(const platform::StoredObject &object)
{
    platform::StoredObject changed = object;
    changed.spec = ownEntry();
    m_store.replace(kind, changed, [this, alive = m_isAlive](const auto &result) {
        if (*alive && result.ok())
            m_isEntered = result->isWritten;
    });
}

void PeerDirectory::remove(const platform::StoredObject &object)
{
    m_store.remove(kind, object, [name = object.name](const auto &result) {
        if (!result.ok())
            observability::logError(observability::LogLevel::Warn, result.status());
    });
}

void PeerDirectory::readAll(EntriesHandler handler)
{
    m_lister.start([this, handler = std::move(handler)](const auto &list) {
        m_isReading = false;
        if (list.ok())
            handler(list->objects);
        else
            observability::logError(observability::LogLevel::Warn, list.status());
    });
}

void PeerDirectory::apply(const std::vector<platform::StoredObject> &objects)
{
    if (!m_isNeeded)
        return;
    std::map<core::HostId, net::Address> addresses;
    std::vector<decisions::ForwarderCandidate> candidates;
    for (const platform::StoredObject &object : objects) {
        const auto entry = decode(object);
        if (!entry || entry->host == m_settings.host)
            continue;
        addresses.emplace(entry->host, entry->address);
        candidates.push_back({entry->host, entry->domain});
    }
    // A restored store may have lost the entry.
    m_isEntered = m_isEntered && std::ranges::any_of(objects, [this](const auto &object) {
                      return object.name == m_settings.host.value();
                  });
    std::vector<net::Address> peers;
    for (const core::HostId &host : decisions::selectForwarders(
             {m_settings.host, m_settings.domain}, candidates, m_settings.regions, maxPeers))
        peers.push_back(addresses.at(host));
    m_onPeers(std::move(peers));
}

void PeerDirectory::withdraw()
{
    setNeeded(false);
    m_isWithdrawn = true;
    if (!std::exchange(m_isEntered, false))
        return;
    m_store.read(kind, m_settings.host.value(), [this, alive = m_isAlive](const auto &object) {
        if (*alive && object.ok() && object->spec == ownEntry())
            remove(*object);
    });
}

void PeerDirectory::removeAllBut(std::set<core::HostId> hosts)
{
    if (std::exchange(m_isReading, true))
        return;
    readAll([this, hosts = std::move(hosts)](const auto &objects) {
        for (const platform::StoredObject &object : objects) {
            if (!hosts.contains(core::HostId(object.name)))
                remove(object);
        }
    });
}

} // namespace jackdawlead::gateway
