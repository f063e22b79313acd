#pragma once

#include "checker.h"
#include "schedule.h"

#include "http/messageparser.h"
#include "support/platformfakes.h"
#include "support/ports.h"
#include "support/rawpeer.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jackdawlead::soak {

/// Share of requests that each kind of endpoint fault affects. All kinds together stay below the
/// retry budget, a fifth of the requests.
inline constexpr double faultShare = 0.025;

/// How long streams with longStreamPrefix take.
enum class StreamPace {
    Usual, ///< 2 to 3 s
    Quick, ///< 0.5 s
    Slowed ///< Part of them several times longer than quick ones.
};

/// Number of injected faults, by kind.
using FaultCounts = std::map<std::string, int>;

/// An endpoint that sends some answers a second time, later, on the same connection. Thread safety:
/// the loop's thread only.
class DuplicatingEndpoint
{
public:
    DuplicatingEndpoint(net::EventLoop &loop, Schedule &schedule, Checker &checker, std::string id,
                        const net::Address &address, std::uint64_t seed, FaultCounts &faults);

private:
    void read(http::Connection &connection, std::string_view bytes);
    void serve(http::Connection &connection, const http::MessageHead &head);
    void writeLater(http::Connection &connection, core::Duration delay, const std::string &bytes);

    Schedule &m_schedule;
    Checker &m_checker;
    std::string m_id;
    RandomSource m_random;
    FaultCounts &m_faults;
    std::map<http::Connection *, std::unique_ptr<http::MessageParser>> m_parsers;
    testsupport::RawPeer m_peer;
};

/// The endpoints of a plain and of a model service. For each request, the response or fault is
/// random; in addition, endpoints leave, crash and return as another incarnation. Thread safety:
/// the loop's thread only.
class Endpoints
{
public:
    /// Precondition: all arguments outlive this object.
    Endpoints(net::EventLoop &loop, net::TimerService &timers, Schedule &schedule, Checker &checker,
              testsupport::FakeStore &store, std::uint64_t seed, FaultCounts &faults);

    /// At which the endpoints listen; they stay the same.
    std::vector<std::uint16_t> ports() const;
    /// Lets one endpoint leave or crash and returns whether one was available. At most one endpoint
    /// of a service is unavailable at a time, so that the others serve its requests. Without a
    /// service, any one is chosen.
    bool startLeaving(const std::string &service = {});
    bool crash();
    /// Lets the endpoints of one service announce request limits, change them and lift them.
    bool limitRequests(const std::string &ofService = {});
    /// One endpoint sends nothing for a while and then goes on where it stopped. Until some time
    /// later its service refuses many requests, so that a replacement often finds no endpoint.
    /// Returns whether that was possible.
    bool silence(const std::string &service);
    /// Also applies to streams in progress.
    void setPace(StreamPace pace) { m_pace = pace; }
    /// Sets the newest version of an adapter, which loads fetch from now on.
    void setNewestVersion(const core::AdapterId &adapter, int version)
    {
        m_newestVersions[adapter.value()] = version;
    }
    /// Repeats what the endpoints wrote to the store and its copy lacks.
    void writeLostRecords();

private:
    using Exchange = testsupport::FakeEndpoint::Exchange;
    struct Endpoint
    {
        std::string name;
        std::string service;
        std::unique_ptr<testsupport::FakeEndpoint> fake;
        int incarnation = 1;
        bool isUnavailable = false; ///< Leaving or crashed.
        bool isCrashed = false;     ///< Aborts each exchange.
        std::vector<std::pair<core::RequestId, std::weak_ptr<http::ServerExchange>>> openExchanges;
        std::vector<std::function<void()>> held; ///< To be sent after its silence.
        std::set<core::RequestId> accepted;      ///< During its silence, to run after it.
    };
    /// Around the silence of an endpoint, all endpoints of its service refuse requests.
    struct Refusal
    {
        core::TimePoint until;
        double share = 0;
    };
    /// A stream in progress: its remaining events and how it ends.
    struct Stream
    {
        Endpoint *endpoint = nullptr;
        Exchange exchange;
        core::RequestId id;
        core::RequestId begunBy; ///< The attempt that brought the first event.
        std::string softwareVersion;
        int next = 1;
        int last = 0;
        std::string end; ///< The kind of fault that ends it; empty for a complete stream.
        core::Duration pause {};
        core::Duration usualTime {};  ///< Of a long stream.
        core::Duration slowedTime {}; ///< The same while they are slowed.
    };

    Endpoint *pickAvailable(const std::string &service = {});
    void writeRecord(const std::string &id, const nlohmann::json &record);
    void removeRecord(const std::string &id);
    void restart(Endpoint &endpoint, bool hasNewId);
    void accept(Endpoint &endpoint, const Exchange &exchange);
    void serve(Endpoint &endpoint, const Exchange &exchange);
    void answer(Endpoint &endpoint, const Exchange &exchange, const core::RequestId &id);
    void startStream(Endpoint &endpoint, const Exchange &exchange, const core::RequestId &id);
    void continueStream(const std::shared_ptr<Stream> &stream);
    core::Duration pauseOf(const Stream &stream) const;
    /// Sends now, or after the endpoint's silence.
    static void send(Endpoint &endpoint, std::function<void()> work);
    void sendAfter(Endpoint &endpoint, core::Duration delay, std::function<void()> work);
    static void resume(Endpoint &endpoint);
    double refusalShareOf(const std::string &service) const;
    void endStream(const Stream &stream);
    void limitForAWhile(Endpoint &endpoint);
    void setLimit(Endpoint &endpoint, const std::string &perSecond);
    net::Headers answerHeaders(const Endpoint &endpoint, const core::RequestId &id, int status);

    Schedule &m_schedule;
    Checker &m_checker;
    testsupport::FakeStore &m_store;
    RandomSource m_random;             ///< For single requests.
    RandomSource m_availabilityRandom; ///< For leaving, crashing and restarting endpoints.
    RandomSource m_silenceRandom;
    std::map<std::string, Refusal> m_refusals; ///< By service.
    StreamPace m_pace = StreamPace::Usual;
    FaultCounts &m_faults;
    testsupport::PortPicker m_picker;
    std::map<std::string, nlohmann::json> m_records; ///< As last written; null if removed.
    std::map<std::string, int> m_newestVersions;     ///< By adapter; 1 if missing.
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::uint16_t m_duplicatingPort = m_picker.take();
    std::unique_ptr<DuplicatingEndpoint> m_duplicating;
};

} // namespace jackdawlead::soak
