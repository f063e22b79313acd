#pragma once

#include "http/server.h"
#include "net/eventloop.h"
#include "net/timerservice.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jackdawlead::testsupport {

/// A stand-in of the platform's store: objects by kind and name, conditional writes, lists and
/// watches, and an outage on request. Thread safety: the loop's thread only.
class FakeStore
{
public:
    enum class Mode { Serving, Refusing, Silent };

    FakeStore(net::EventLoop &loop, net::TimerService &timers, std::uint16_t port);

    void setMode(Mode mode) { m_mode = mode; }
    /// Watches that wait now, and those to come, hear nothing until their time is over.
    void suspendWatches() { m_isMute = true; }
    /// Watches hear of changes again, also of those that they missed.
    void resumeWatches();
    /// Watches that were asked for so far.
    int watches() const { return m_watchCount; }
    /// Lists of a kind that were asked for so far.
    int lists() const { return m_listCount; }
    /// Writes as the operator or an endpoint does.
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    /// The spec of an object; null if it does not exist.
    nlohmann::json spec(const std::string &kind, const std::string &name) const;
    /// Forgets what was changed until now, so that watches must list again.
    void compactHistory();

private:
    struct Object
    {
        std::uint64_t revision = 0;
        nlohmann::json spec;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json body;
    };
    struct Watch
    {
        std::string kind;
        std::uint64_t since = 0;
        std::shared_ptr<http::ServerExchange> exchange;
        net::TimerService::Subscription timeout;
    };

    void serve(const std::shared_ptr<http::ServerExchange> &exchange);
    void list(const std::string &kind, http::ServerExchange &exchange);
    void watch(const std::string &kind, std::uint64_t since, int waitMilliseconds,
               const std::shared_ptr<http::ServerExchange> &exchange);
    void write(const std::string &kind, const std::string &name, http::ServerExchange &exchange);
    bool answer(const Watch &watch, bool isOver);
    void changed(const std::string &kind, const nlohmann::json &body);
    void answerWatches();
    static nlohmann::json encode(const std::string &name, const Object &object);

    net::TimerService &m_timers;
    http::Server m_server;
    Mode m_mode = Mode::Serving;
    bool m_isMute = false;
    std::uint64_t m_revision = 10;
    std::uint64_t m_oldest = 0;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::vector<Event> m_events;
    std::list<Watch> m_watches;
    int m_watchCount = 0;
    int m_listCount = 0;
    std::vector<std::shared_ptr<http::ServerExchange>> m_unanswered;
};

/// A stand-in of an endpoint: answers orders and reports, and runs requests as a test says.
/// Thread safety: the loop's thread only.
class FakeEndpoint
{
public:
    using Exchange = std::shared_ptr<http::ServerExchange>;

    FakeEndpoint(net::EventLoop &loop, net::TimerService &timers, std::string id,
                 std::uint16_t port);

    /// Begins another life, under another id or the same one: nothing of before is held.
    void restart(const std::string &newId);
    /// The entry that the endpoint writes to the store.
    nlohmann::json record(const std::string &service, const std::string &state = "ready") const;
    /// What to do with a request that runs; a whole stamped answer unless a test says otherwise.
    std::function<void(const Exchange &)> run;
    /// Called with each order that arrives, if set.
    std::function<void(const nlohmann::json &order)> onOrder;
    /// Ids of the requests that ran, in order.
    std::vector<std::string> runs;
    /// Request heads as they arrived.
    std::vector<http::MessageHead> heads;
    int loads = 0;
    /// Says in every answer that it leaves.
    bool isLeaving = false;
    /// If not empty, requests are turned away with this as the time for which nothing is wanted.
    std::string retryAfter;
    std::string id;
    std::uint16_t port;
    std::string model = "base";

    static net::Headers stamped(const Exchange &exchange);
    /// The fields with what every answer says.
    net::Headers withServerLeaving(net::Headers fields) const;

private:
    void serve(const Exchange &exchange);
    void order(const Exchange &exchange);

    http::Server m_server;
    int m_born = 1;
    int m_orderRevision = 0;
    std::map<std::string, bool> m_adapters;
};

} // namespace jackdawlead::testsupport
