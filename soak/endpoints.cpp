#include "endpoints.h"

#include "expectedbytes.h"

#include <algorithm>

namespace jackdawlead::soak {

namespace {

using std::chrono::milliseconds;
using testsupport::FakeEndpoint;

constexpr char recordKind[] = "servers";
/// How long a leaving endpoint still serves: longer than the bound of 3 s, so that requests sent to
/// it too late are detected.
constexpr milliseconds minLeavingTime {7000};
constexpr milliseconds maxLeavingTime {9000};

/// The deadline in the daemon's request; without one, an hour, which exceeds every deadline.
core::Duration deadlineOf(const http::MessageHead &head)
{
    const std::string text = head.headers.value("Deadline-Ms");
    return text.empty() ? std::chrono::hours(1) : core::Duration(milliseconds(std::stoi(text)));
}

} // namespace

DuplicatingEndpoint::DuplicatingEndpoint(net::EventLoop &loop, Schedule &schedule, Checker &checker,
                                         std::string id, const net::Address &address,
                                         std::uint64_t seed, FaultCounts &faults)
    : m_schedule(schedule)
    , m_checker(checker)
    , m_id(std::move(id))
    , m_random(seed)
    , m_faults(faults)
    , m_peer(loop, address, [this](http::Connection &connection, std::string_view bytes) {
        read(connection, bytes);
    })
{ }

void DuplicatingEndpoint::read(http::Connection &connection, std::string_view bytes)
{
    // A later connection may have the address of a closed one.
    std::erase_if(m_parsers, [this](const auto &entry) { return !m_peer.isOpen(*entry.first); });
    auto &parser = m_parsers[&connection];
    if (!parser)
        parser = std::make_unique<http::MessageParser>(http::MessageParser::Kind::Request);
    while (!bytes.empty() && parser->failure() == http::MessageParser::Failure::None) {
        bytes.remove_prefix(parser->feed(bytes));
        if (!parser->isComplete())
            return;
        const http::MessageHead head = parser->head();
        parser->takeBody();
        parser->reset();
        serve(connection, head);
    }
}

void DuplicatingEndpoint::serve(http::Connection &connection, const http::MessageHead &head)
{
    const core::RequestId id(head.headers.value("Request-Id"));
    if (head.headers.value("Expect-Instance") != m_id || id.isEmpty()) {
        connection.write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + m_id
                         + "\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    m_checker.requestReceived(id, core::EndpointId(m_id), deadlineOf(head), m_schedule.now());
    m_checker.requestRan(id, core::EndpointId(m_id));
    const std::string body = expectedBody(id);
    const std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id.value()
        + "\r\nResponse-Stamp: " + expectedStamp(id, 200)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const core::Duration delay = m_random.duration(milliseconds(0), milliseconds(60));
    writeLater(connection, delay, answer);
    if (!m_random.chance(faultShare * 4))
        return;
    ++m_faults["endpoint: late second answer"];
    writeLater(connection, delay + m_random.duration(milliseconds(0), milliseconds(200)), answer);
}

void DuplicatingEndpoint::writeLater(http::Connection &connection, core::Duration delay,
                                     const std::string &bytes)
{
    m_schedule.after(delay, [this, to = &connection, bytes] {
        if (m_peer.isOpen(*to))
            to->write(bytes);
    });
}

Endpoints::Endpoints(net::EventLoop &loop, net::TimerService &timers, Schedule &schedule,
                     Checker &checker, testsupport::FakeStore &store, std::uint64_t seed,
                     FaultCounts &faults)
    : m_schedule(schedule)
    , m_checker(checker)
    , m_store(store)
    , m_random(seed)
    , m_availabilityRandom(seed + 1)
    , m_silenceRandom(seed + 3)
    , m_faults(faults)
{
    // With one unavailable, two remain for a request. A stream needs another endpoint of its
    // software version to go on.
    for (const auto &[service, count] : {std::pair<std::string, int> {"plain", 3}, {"model", 4}}) {
        for (int number = 0; number < count; ++number) {
            auto endpoint = std::make_unique<Endpoint>();
            endpoint->name = service + std::to_string(number);
            endpoint->service = service;
            endpoint->fake = std::make_unique<FakeEndpoint>(loop, timers, endpoint->name + "-1",
                                                            m_picker.take());
            endpoint->fake->run = [this, owner = endpoint.get()](const Exchange &exchange) {
                serve(*owner, exchange);
            };
            endpoint->fake->onHeld = [this, owner = endpoint.get()](const Exchange &exchange) {
                accept(*owner, exchange);
            };
            endpoint->fake->onOrder = [this, owner = endpoint.get()](const nlohmann::json &order) {
                m_checker.orderReceived(
                    core::EndpointId(owner->fake->id),
                    core::HostId(order.at("holder").get<std::string>()),
                    core::FencingToken(order.at("fencing_token").get<std::uint64_t>()),
                    m_schedule.now());
            };
            endpoint->fake->newestVersion = [this](const std::string &adapter) {
                const auto newest = m_newestVersions.find(adapter);
                return newest == m_newestVersions.end() ? 1 : newest->second;
            };
            endpoint->fake->softwareVersion = "v" + std::to_string(1 + number % 2);
            writeRecord(endpoint->fake->id, endpoint->fake->record(service));
            m_endpoints.push_back(std::move(endpoint));
        }
    }
    const net::Address address {"127.0.0.1", m_duplicatingPort};
    m_duplicating = std::make_unique<DuplicatingEndpoint>(loop, schedule, checker, "late", address,
                                                          seed + 2, faults);
    nlohmann::json record = m_endpoints.front()->fake->record("plain");
    record["address"] = address.toString();
    writeRecord("late", record);
}

std::vector<std::uint16_t> Endpoints::ports() const
{
    std::vector<std::uint16_t> ports {m_duplicatingPort};
    for (const auto &endpoint : m_endpoints)
        ports.push_back(endpoint->fake->port);
    return ports;
}

net::Headers Endpoints::answerHeaders(const Endpoint &endpoint, const core::RequestId &id,
                                      int status)
{
    if (!endpoint.fake->requestLimit.empty())
        m_checker.limitAnnounced(id, core::EndpointId(endpoint.fake->id), m_schedule.now());
    return endpoint.fake->withNotices({{"Request-Id", id.value()},
                                       {"Response-Stamp", expectedStamp(id, status)},
                                       {"Keep-Alive", "timeout=20"}});
}

Endpoints::Endpoint *Endpoints::pickAvailable(const std::string &service)
{
    std::vector<Endpoint *> available;
    for (const auto &endpoint : m_endpoints) {
        const bool isOneUnavailable = std::ranges::any_of(m_endpoints, [&](const auto &other) {
            return other->isUnavailable && other->service == endpoint->service;
        });
        if (!isOneUnavailable && (service.empty() || endpoint->service == service))
            available.push_back(endpoint.get());
    }
    if (available.empty())
        return nullptr;
    return available[static_cast<std::size_t>(
        m_availabilityRandom.number(0, static_cast<int>(available.size()) - 1))];
}

bool Endpoints::startLeaving(const std::string &service)
{
    Endpoint *const endpoint = pickAvailable(service);
    if (endpoint == nullptr)
        return false;
    endpoint->isUnavailable = true;
    FakeEndpoint &fake = *endpoint->fake;
    const auto updateStore = [this, endpoint](bool isRemoved) {
        const std::string id = endpoint->fake->id;
        if (isRemoved)
            removeRecord(id);
        else
            writeRecord(id, endpoint->fake->record(endpoint->service, "draining"));
        m_checker.endpointLeaving(core::EndpointId(id), m_schedule.now());
    };
    const int method = m_availabilityRandom.number(0, 2);
    if (method == 0) {
        ++m_faults["endpoint: says in its answers that it leaves"];
        fake.isLeaving = true;
        m_schedule.after(milliseconds(800), [updateStore] { updateStore(false); });
    } else {
        ++m_faults[method == 1 ? "endpoint: leaves as draining" : "endpoint: leaves by removal"];
        updateStore(method == 2);
    }
    const bool hasNewId = m_availabilityRandom.chance(0.7);
    m_schedule.after(
        m_availabilityRandom.duration(minLeavingTime, maxLeavingTime), [this, endpoint, hasNewId] {
            const std::string id = endpoint->fake->id;
            removeRecord(id);
            m_checker.endpointRemoved(core::EndpointId(id));
            m_schedule.after(m_availabilityRandom.duration(milliseconds(50), milliseconds(1000)),
                             [this, endpoint, hasNewId] { restart(*endpoint, hasNewId); });
        });
    return true;
}

bool Endpoints::crash()
{
    Endpoint *const endpoint = pickAvailable();
    if (endpoint == nullptr || endpoint->fake->isPaused())
        return false;
    ++m_faults["endpoint: crashes and comes back"];
    endpoint->isUnavailable = endpoint->isCrashed = true;
    for (const auto &[id, weak] : std::exchange(endpoint->openExchanges, {})) {
        if (const Exchange exchange = weak.lock()) {
            m_checker.answerInterrupted(id, core::EndpointId(endpoint->fake->id));
            exchange->abort();
        }
    }
    m_schedule.after(m_availabilityRandom.duration(milliseconds(300), milliseconds(2000)),
                     [this, endpoint] { restart(*endpoint, false); });
    return true;
}

bool Endpoints::limitRequests(const std::string &ofService)
{
    const std::string drawn = m_availabilityRandom.chance(0.5) ? "plain" : "model";
    const std::string &service = ofService.empty() ? drawn : ofService;
    bool isAnyLimited = false;
    for (const auto &endpoint : m_endpoints) {
        const bool canAnnounce = !endpoint->isUnavailable && endpoint->fake->requestLimit.empty();
        if (endpoint->service != service || !canAnnounce)
            continue;
        ++m_faults["endpoint: announces a request limit"];
        isAnyLimited = true;
        limitForAWhile(*endpoint);
    }
    return isAnyLimited;
}

void Endpoints::limitForAWhile(Endpoint &endpoint)
{
    static const std::vector<std::string> firstLimits {"1", "1.5", "4"};
    static const std::vector<std::string> laterLimits {"0", "0.5", "4"};
    const auto anyOf = [this](const std::vector<std::string> &limits) {
        return limits[static_cast<std::size_t>(m_availabilityRandom.number(0, 2))];
    };
    setLimit(endpoint, anyOf(firstLimits));
    const std::string changed = m_availabilityRandom.chance(0.3) ? anyOf(laterLimits) : "";
    constexpr milliseconds changeTime {8000};
    constexpr milliseconds endTime {14000};
    const std::string id = endpoint.fake->id;
    const int incarnation = endpoint.incarnation;
    for (const auto &[delay, value] : {std::pair {changeTime, changed}, {endTime, std::string()}}) {
        m_schedule.after(delay, [this, &endpoint, limit = value, id, incarnation] {
            const bool isSame = endpoint.fake->id == id && endpoint.incarnation == incarnation;
            if (isSame && !endpoint.fake->requestLimit.empty())
                setLimit(endpoint, limit);
        });
    }
}

void Endpoints::setLimit(Endpoint &endpoint, const std::string &perSecond)
{
    endpoint.fake->requestLimit = perSecond;
    m_checker.endpointLimited(
        core::EndpointId(endpoint.fake->id),
        perSecond.empty() ? std::nullopt : std::optional(std::stod(perSecond)), m_schedule.now());
}

void Endpoints::restart(Endpoint &endpoint, bool hasNewId)
{
    setLimit(endpoint, {});
    if (hasNewId) {
        ++endpoint.incarnation;
        endpoint.fake->softwareVersion = "v" + std::to_string(m_availabilityRandom.number(1, 2));
    }
    endpoint.fake->restart(endpoint.name + "-" + std::to_string(endpoint.incarnation));
    endpoint.isUnavailable = endpoint.isCrashed = false;
    writeRecord(endpoint.fake->id, endpoint.fake->record(endpoint.service));
}

void Endpoints::writeRecord(const std::string &id, const nlohmann::json &record)
{
    m_records[id] = record;
    if (m_store.spec(recordKind, id) != record)
        m_store.put(recordKind, id, record);
}

void Endpoints::removeRecord(const std::string &id)
{
    m_records[id] = nullptr;
    if (!m_store.spec(recordKind, id).is_null())
        m_store.remove(recordKind, id);
}

void Endpoints::writeLostRecords()
{
    const auto records = m_records;
    for (const auto &[id, record] : records) {
        if (record.is_null())
            removeRecord(id);
        else
            writeRecord(id, record);
    }
}

void Endpoints::serve(Endpoint &endpoint, const Exchange &exchange)
{
    const core::RequestId id(exchange->head.headers.value("Request-Id"));
    const core::EndpointId endpointId(endpoint.fake->id);
    m_checker.requestReceived(id, endpointId, deadlineOf(exchange->head), exchange->receivedAt);
    if (endpoint.isCrashed) {
        m_checker.answerInterrupted(id, endpointId);
        exchange->abort();
        return;
    }
    const bool wasAccepted = endpoint.accepted.erase(id) > 0;
    if (!wasAccepted && m_random.chance(refusalShareOf(endpoint.service))) {
        ++m_faults["endpoint: refuses, not executed"];
        net::Headers refusal {{"Not-Executed", "1"}};
        if (m_random.chance(0.2))
            refusal.add("Retry-After", "0.3");
        exchange->respond(503, endpoint.fake->withNotices(refusal), {});
        return;
    }
    m_checker.requestRan(id, endpointId);
    const std::string model = exchange->head.headers.value("Model");
    if (const std::size_t slash = model.find('/'); slash != std::string::npos) {
        const core::AdapterId adapter(model.substr(slash + 1));
        m_checker.adapterRan(id, adapter, endpoint.fake->heldVersion(adapter.value()),
                             m_schedule.now());
    }
    std::erase_if(endpoint.openExchanges, [](const auto &entry) { return entry.second.expired(); });
    endpoint.openExchanges.emplace_back(id, exchange);
    if (exchange->head.headers.contains("Model"))
        startStream(endpoint, exchange, id);
    else
        answer(endpoint, exchange, id);
}

void Endpoints::answer(Endpoint &endpoint, const Exchange &exchange, const core::RequestId &id)
{
    const core::Duration delay = m_random.duration(milliseconds(0), milliseconds(60));
    const core::EndpointId endpointId(endpoint.fake->id);
    if (m_random.chance(faultShare)) {
        ++m_faults["endpoint: breaks off, no byte sent"];
        m_checker.answerInterrupted(id, endpointId);
        sendAfter(endpoint, delay, [exchange] { exchange->abort(); });
    } else if (m_random.chance(faultShare)) {
        ++m_faults["endpoint: breaks off midway"];
        m_checker.answerInterrupted(id, endpointId);
        exchange->startChunked(200, answerHeaders(endpoint, id, 200));
        exchange->writeChunk(expectedBody(id).substr(0, 100));
        sendAfter(endpoint, delay, [exchange] { exchange->abort(); });
    } else if (m_random.chance(faultShare)) {
        ++m_faults["endpoint: silent"];
        m_checker.answerInterrupted(id, endpointId);
    } else if (m_random.chance(faultShare)) {
        ++m_faults["endpoint: own failure"];
        exchange->respond(500, answerHeaders(endpoint, id, 500), "failed");
    } else {
        const bool isSlow = m_random.chance(faultShare * 2);
        if (isSlow)
            ++m_faults["endpoint: slow"];
        const core::Duration time
            = isSlow ? m_random.duration(milliseconds(300), milliseconds(1500)) : delay;
        sendAfter(endpoint, time, [this, &endpoint, exchange, id] {
            exchange->respond(200, answerHeaders(endpoint, id, 200), expectedBody(id));
        });
    }
}

} // namespace jackdawlead::soak
