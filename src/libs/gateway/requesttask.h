#pragma once

#include "gateway/endpointfinder.h"
#include "gateway/eventfilter.h"
#include "gateway/requestcontext.h"
#include "gateway/streamtimes.h"
#include "http/server.h"
#include "platform/endpointcodec.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jackdawlead::gateway {

/// Serves one request of a caller: chooses an endpoint, sends the request, passes the answer on,
/// and sends again where that is allowed. It owns the connection to the endpoint. Its steps stand
/// in requesttask.cpp (until the request is sent), requestanswer.cpp and requestend.cpp. Thread
/// safety: the loop's thread only.
class RequestTask : public std::enable_shared_from_this<RequestTask>
{
public:
    using DoneHandler = std::function<void(const std::shared_ptr<RequestTask> &)>;

    RequestTask(RequestContext &context, std::shared_ptr<http::ServerExchange> exchange,
                DoneHandler onDone);
    ~RequestTask();

    void start();
    /// Tries again to find an endpoint, if the request waits for one.
    void retryIfWaiting();
    /// The endpoint takes no more requests: one that is not on its way to it yet goes elsewhere.
    void giveUpConnecting(const core::EndpointId &id, std::string_view cause);
    /// Answers the request as far as that is possible, because the process ends.
    void finishForShutdown();
    bool isWaiting() const { return m_isWaiting; }

private:
    /// How the exchange with an endpoint ended, with what that says about the request.
    enum class Failure {
        NotSent, ///< Certain: nothing arrived at the endpoint.
        NotRun,  ///< Certain: the endpoint refused.
        MayHaveRun,
    };

    /// Runs `work`; if it throws, this request alone fails.
    void attempt(const std::function<void()> &work);
    /// Waits for the first configuration for a while if none is known yet.
    void resolveOrWait();
    void resolve();
    bool canEndBeforeStop() const;
    void choose();
    void waitFor(decisions::NoEndpointReason reason);
    void setWaitsForLoad(bool isWaiting);
    void waitForBudget();
    /// How long a request that broke off waits for its next endpoint.
    core::Duration resumeWait() const;
    core::TimePoint waitLimit(decisions::NoEndpointReason reason) const;
    core::TimePoint waitLimitFromArrival(decisions::NoEndpointReason reason) const;
    void send(const fleet::Endpoint &endpoint);

    void headArrived(http::MessageHead &head);
    /// Passes the head of the stream on, if that is not done.
    void startRelaying();
    void noteEndpointState(const http::MessageHead &head);
    void bodyArrived(std::string_view bytes);
    /// Ends the present exchange as broken, from the loop: its connection is on the stack.
    void breakExchange();
    void exchangeEnded(http::ExchangeEnd end);
    void connectionBroke(http::ExchangeEnd end);
    decisions::Fingerprint fingerprint() const;
    void streamEnded(http::ExchangeEnd end);
    void answerBuffered();
    void notRun();
    void sendFailed(Failure failure, std::string_view cause);
    bool mayTryAgain(Failure failure);

    /// The time after which silence of the endpoint counts as a failure.
    core::Duration stallLimit() const;
    void armStallTimer();
    void endpointStalled();
    /// Whether the request can be sent to an endpoint in place of the present one now.
    bool canBeReplaced();
    void deadlinePassed();
    void callerLeft();
    void refuse(std::string_view cause, core::Duration retryAfter);
    void fail(int status, std::string_view cause);
    /// Ends an answer of which the caller has a part.
    void abortStream(std::string_view cause);
    void finish();
    void dropConnection();
    void slowDown();
    void endPrefill();
    void learnCost();
    void logIfLate() const;
    fleet::AdapterKey adapterKey() const { return {m_fields.model, m_fields.adapter}; }
    core::TimePoint deadline() const;
    core::TimePoint now() const { return m_context.timers.now(); }

    RequestContext &m_context;
    std::shared_ptr<http::ServerExchange> m_exchange;
    DoneHandler m_onDone;
    platform::RequestFields m_fields;
    /// Keeps m_route valid; empty until the request is resolved.
    std::shared_ptr<const decisions::RouteTable> m_routes;
    const fleet::Route *m_route = nullptr;
    core::ServiceId m_service;
    EndpointFinder m_finder;

    std::unique_ptr<http::ClientConnection> m_connection;
    core::EndpointId m_endpoint;
    int m_sends = 0;
    int m_runs = 0; ///< Sends that may have run.
    bool m_isWaiting = false;
    bool m_waitsForLoad = false; ///< Counted in what the daemon's requests wait for.
    bool m_isSent = false;       ///< An exchange is in progress.
    bool m_isDone = false;

    int m_status = 0; ///< Given to the caller; zero if the answer was broken off.
    http::MessageHead m_answer;
    platform::ResponseTraits m_traits;
    std::string m_answerBody;
    bool m_isStream = false;    ///< The present endpoint answers with a stream.
    bool m_isRelaying = false;  ///< The caller has the head of a stream and is given its events.
    bool m_needsBudget = false; ///< The next send has to be taken from the budget first.
    bool m_isBrokenStream = false;
    EventFilter m_events;
    StreamTimes m_times;
    core::TimePoint m_sentAt;
    core::TimePoint m_headAt; ///< When the head of the present endpoint's answer came.
    std::string m_heldEvents; ///< Comments that came before the first event.
    std::optional<core::TimePoint> m_brokeAt; ///< When an endpoint broke off last.
    double m_startLoad = 0;  ///< Slots occupied at the endpoint when the request was sent.
    int m_readingTokens = 0; ///< Of the present send, until its first event.
    bool m_isAlone = false;  ///< The endpoint had nothing to read and few streams then.
    net::TimerService::Subscription m_deadlineTimer;
    net::TimerService::Subscription m_stallTimer;
};

} // namespace jackdawlead::gateway
