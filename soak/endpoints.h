#pragma once

#include "checker.h"
#include "schedule.h"

#include "http/messageparser.h"
#include "support/platformfakes.h"
#include "support/ports.h"
#include "support/rawpeer.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jackdawlead::soak {

/// Counts of faults that were played, by kind.
using FaultCounts = std::map<std::string, int>;

/// An endpoint whose answers come a second time, late, on the same connection. Thread safety: the
/// loop's thread only.
class LateEndpoint
{
public:
    LateEndpoint(net::EventLoop &loop, Schedule &schedule, Checker &checker, std::string id,
                 const net::Address &address, std::uint64_t seed, FaultCounts &faults);

private:
    void read(http::Connection &connection, std::string_view bytes);
    void serve(http::Connection &connection, const http::MessageHead &head);
    void writeLater(http::Connection &connection, core::Duration delay, const std::string &bytes);

    Schedule &m_schedule;
    Checker &m_checker;
    std::string m_id;
    Draw m_draw;
    FaultCounts &m_faults;
    std::map<http::Connection *, std::unique_ptr<http::MessageParser>> m_parsers;
    testsupport::RawPeer m_peer;
};

/// The endpoints of a plain and of a model service. Each draws what it does with a request;
/// besides, whole endpoints leave, crash and come back as another life. Thread safety: the loop's
/// thread only.
class Endpoints
{
public:
    /// Precondition: all arguments outlive this object.
    Endpoints(net::EventLoop &loop, net::TimerService &timers, Schedule &schedule, Checker &checker,
              testsupport::FakeStore &store, std::uint64_t seed, FaultCounts &faults);

    /// One endpoint leaves, or crashes. Returns whether there was one that could: of a service one
    /// at a time does so, so that the others serve.
    bool leave();
    bool crash();

private:
    using Exchange = testsupport::FakeEndpoint::Exchange;
    struct Endpoint
    {
        std::string name;
        std::string service;
        std::unique_ptr<testsupport::FakeEndpoint> standIn;
        int life = 1;
        bool isAway = false; ///< Leaving, or crashed.
        bool isDown = false; ///< Closes each connection.
        std::vector<std::pair<core::RequestId, std::weak_ptr<http::ServerExchange>>> open;
    };
    /// A stream on its way: what is left of it and how it ends.
    struct Stream
    {
        Exchange exchange;
        core::RequestId id;
        int next = 1;
        int last = 0;
        std::string end; ///< The kind of fault that ends it; empty for a sound one.
        core::Duration pause {};
    };

    Endpoint *pick();
    void comeBack(Endpoint &endpoint, bool hasNewId);
    void serve(Endpoint &endpoint, const Exchange &exchange);
    void answer(Endpoint &endpoint, const Exchange &exchange, const core::RequestId &id);
    void startStream(Endpoint &endpoint, const Exchange &exchange, const core::RequestId &id);
    void continueStream(const std::shared_ptr<Stream> &stream);
    void endStream(const Stream &stream);
    static net::Headers fields(const Endpoint &endpoint, const core::RequestId &id, int status);

    Schedule &m_schedule;
    Checker &m_checker;
    testsupport::FakeStore &m_store;
    Draw m_draw;     ///< What becomes of single requests.
    Draw m_lifeDraw; ///< What becomes of whole endpoints.
    FaultCounts &m_faults;
    testsupport::PortPicker m_picker;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::unique_ptr<LateEndpoint> m_late;
};

} // namespace jackdawlead::soak
