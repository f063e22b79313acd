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

/// A fake of the platform's store: objects by kind and name, conditional writes, lists, watches and
/// simulated outages. Thread safety: the loop's thread only.
class FakeStore
{
public:
    enum class Mode { Serving, Refusing, Silent };

    FakeStore(net::EventLoop &loop, net::TimerService &timers, std::uint16_t port);

    void setMode(Mode mode) { m_mode = mode; }
    /// Present and later watches receive no changes until their wait is over.
    void suspendWatches() { m_areWatchesSuspended = true; }
    /// Watches receive changes again, including those made while they were suspended.
    void resumeWatches();
    /// Closes the connections of the waiting watches without a response, in an orderly way.
    void cutWatches();
    /// The next watch of the kind that has to wait gets no answer, as if its connection had gone
    /// silent; `onSilenced` is called when it arrives.
    void silenceNextWatch(const std::string &kind, std::function<void()> onSilenced);
    /// While set, calls that concern this kind of object get no answer; empty for none.
    void setSilentKind(const std::string &kind) { m_silentKind = kind; }
    /// From now on the answers to a part of the watches of a kind arrive late: every `period`th one
    /// after `delay`, with the changes up to the time at which it was due.
    void delayWatchAnswers(const std::string &kind, core::Duration delay, int period);
    /// Number of watches requested so far.
    int watches() const { return m_watchCount; }
    /// Number of pages of lists requested so far, of all kinds.
    int lists() const;
    /// The same of one kind.
    int lists(const std::string &kind) const;
    /// From now on a list has at most that many objects to a page.
    void setPageSize(std::size_t size) { m_pageSize = size; }
    /// If set, changes the body of an answer to a list or a watch of the kind before it is sent.
    std::function<void(const std::string &kind, nlohmann::json &page)> editPage;
    std::function<void(const std::string &kind, nlohmann::json &events)> editEvents;
    /// Watches of each kind are rejected with this status; zero for none.
    void setWatchStatus(int status) { m_watchStatus = status; }
    /// Watches are answered at once, also if there is no change.
    void setWatchesWait(bool doWait) { m_doWatchesWait = doWait; }
    /// Writes an object unconditionally, like the operator or an endpoint.
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    /// The same with any text as the spec, whatever JSON allows; other texts of the name stay.
    void putText(const std::string &kind, const std::string &name, const std::string &spec);
    /// Returns a placeholder; a string with it as its content is replaced by `text` in answers.
    std::string addText(const std::string &text);
    void remove(const std::string &kind, const std::string &name);
    /// Number of objects of a kind.
    std::size_t count(const std::string &kind) const;
    /// The spec of an object; null if it does not exist.
    nlohmann::json spec(const std::string &kind, const std::string &name) const;
    /// Drops the history of changes: watches from earlier revisions fail with 410, so that their
    /// clients must list again.
    void compactHistory();
    /// Keeps a copy of the objects and of the history, for restoreCopy().
    void takeCopy();
    /// Comes back from the copy: what was written since is lost, its revisions are given out again,
    /// and the era rises. Waiting watches are cut.
    void restoreCopy();
    /// Whether responses state the era; they do unless a test changes it.
    void setStatesEra(bool isStated) { m_statesEra = isStated; }

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
    struct LateAnswers
    {
        std::string kind;
        core::Duration delay {};
        int period = 0; ///< Zero if no answer is late.
        int count = 0;  ///< Of the watches of the kind that were answered.
    };
    struct Contents
    {
        std::uint64_t revision = 10;
        std::map<std::string, std::map<std::string, Object>> kinds;
        std::vector<Event> events;
    };

    void serve(const std::shared_ptr<http::ServerExchange> &exchange);
    void list(const std::string &kind, const std::string &after, http::ServerExchange &exchange);
    void watch(const std::string &kind, std::uint64_t since, int waitMilliseconds,
               const std::shared_ptr<http::ServerExchange> &exchange);
    void write(const std::string &kind, const std::string &name, http::ServerExchange &exchange);
    bool respondToWatch(const Watch &watch, bool isOver);
    /// The delay of the next answer to a watch of the kind.
    core::Duration nextDelay(const std::string &kind);
    void recordChange(const std::string &kind, const nlohmann::json &body);
    void respondToWatches();
    static nlohmann::json encode(const std::string &name, const Object &object);

    net::TimerService &m_timers;
    http::Server m_server;
    Mode m_mode = Mode::Serving;
    bool m_areWatchesSuspended = false;
    void respond(http::ServerExchange &exchange, int status, const nlohmann::json &body) const;
    void reject(http::ServerExchange &exchange, int status) const;
    net::Headers eraFields() const;

    std::map<std::string, std::string> m_texts; ///< By the placeholder in the spec.
    Contents m_contents;
    Contents m_copy;
    std::uint64_t m_era = 1;
    bool m_statesEra = true;
    std::uint64_t m_oldestRevision = 0;
    std::list<Watch> m_watches;
    std::string m_silentKind;
    std::string m_silencedWatchKind;
    std::function<void()> m_onSilenced;
    LateAnswers m_lateAnswers;
    std::list<net::TimerService::Subscription> m_lateAnswerTimers;
    int m_watchCount = 0;
    std::map<std::string, int> m_listCounts; ///< By kind.
    std::size_t m_pageSize = 500;
    int m_watchStatus = 0;
    bool m_doWatchesWait = true;
    std::vector<std::shared_ptr<http::ServerExchange>> m_unanswered;
};

/// A fake endpoint: responds to orders and report requests, and runs requests with a handler that a
/// test can replace.
/// Thread safety: the loop's thread only.
class FakeEndpoint
{
public:
    using Exchange = std::shared_ptr<http::ServerExchange>;

    FakeEndpoint(net::EventLoop &loop, net::TimerService &timers, std::string id,
                 std::uint16_t port);

    /// Starts a new incarnation, under the same or another id, without adapters. It also listens
    /// again after a crash.
    void restart(const std::string &newId);
    /// Closes all connections without an answer in the next event loop iteration; the endpoint
    /// does not listen until it is restarted.
    void crash();
    bool isCrashed() const { return !m_server; }
    /// Until resume(), messages that arrive are not answered and not handled.
    void pause() { m_isPaused = true; }
    /// Handles the messages that arrived meanwhile, in their order, except those of clients that
    /// disconnected.
    void resume();
    bool isPaused() const { return m_isPaused; }
    /// The entry that the endpoint writes to the store.
    nlohmann::json record(const std::string &service, const std::string &state = "ready") const;
    /// Handles a request that runs; the default sends a complete, stamped response.
    std::function<void(const Exchange &)> run;
    /// The newest version of an adapter, which a load without a version fetches; 1 by default.
    std::function<int(const std::string &adapter)> newestVersion;
    /// Holds the adapter at this version, without an order.
    void hold(const std::string &adapter, int version) { m_adapters[adapter] = version; }
    /// Another order is in progress, so that all orders are refused.
    bool isBusy = false;
    /// The version at which the endpoint holds the adapter; 0 if it doesn't.
    int heldVersion(const std::string &adapter) const;
    /// Called with each request that arrives while paused and will run after it, if set.
    std::function<void(const Exchange &)> onHeld;
    /// Called with each received order, if set.
    std::function<void(const nlohmann::json &order)> onOrder;
    /// Ids of the requests that ran, in their order.
    std::vector<std::string> runs;
    /// Heads of the received requests, in their order.
    std::vector<http::MessageHead> heads;
    int loads = 0;
    /// Announces in its responses that it leaves.
    bool isLeaving = false;
    /// If not empty, requests are rejected with this value of Retry-After.
    std::string retryAfter;
    /// If not empty, the responses announce this request limit.
    std::string requestLimit;
    /// Times of all messages for this endpoint, including orders and report requests.
    std::vector<core::TimePoint> arrivals;
    std::string id;
    std::uint16_t port;
    std::string model = "base";
    std::string softwareVersion = "v1";

    static net::Headers stamped(const Exchange &exchange);
    /// The fields, with Server-Leaving added while isLeaving is set, and the request limit.
    net::Headers withNotices(net::Headers fields) const;

private:
    void serve(const Exchange &exchange);
    void order(const Exchange &exchange);
    /// Whether the request names another incarnation, or an adapter that is not held.
    bool isMisdirected(const http::MessageHead &head) const;
    void listen();

    net::EventLoop &m_loop;
    net::TimerService &m_timers;
    std::unique_ptr<http::Server> m_server;
    int m_startTime = 1;
    int m_orderRevision = 0;
    bool m_isPaused = false;
    std::vector<Exchange> m_held;          ///< Received while paused.
    std::map<std::string, int> m_adapters; ///< With their versions.
};

} // namespace jackdawlead::testsupport
