#pragma once

#include "gateway/customers/requestadmission.h"
#include "gateway/endpointfinder.h"
#include "gateway/requestattempts.h"
#include "gateway/requestcontext.h"
#include "gateway/streamtimes.h"
#include "http/server.h"
#include "platform/endpointcodec.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawlead::gateway {

/// Serves one request of a client: selects an endpoint, sends the request, forwards the answer and
/// retries where that is allowed. Owns the connections to the endpoints. A request is sent to one
/// endpoint at a time, unless that one is silent; then the first one that makes progress serves it.
/// Implemented in requesttask.cpp (until the request is sent), requestresume.cpp (streams that
/// clients take up), requestquota.cpp (customers' quotas), requestqueue.cpp (requests that wait at
/// an endpoint), requestpath.cpp (own and other daemons' connections), requestanswer.cpp (the
/// endpoint's answer), requestreplacement.cpp (silent endpoints), requeststreams.cpp (predicted
/// gaps), requestbuffers.cpp (the memory that it takes) and requestend.cpp (retries and the end of
/// the request). Thread safety: the event loop's thread only.
class RequestTask : public std::enable_shared_from_this<RequestTask>
{
public:
    using DoneHandler = std::function<void(const std::shared_ptr<RequestTask> &)>;

    RequestTask(RequestContext &context, std::shared_ptr<http::ServerExchange> exchange,
                DoneHandler onDone);
    ~RequestTask();

    void start();
    /// Selects an endpoint again if the request waits for one; forwards its first event if that
    /// waits for the record of the stream.
    void retryIfWaiting();
    /// Sends the request to another endpoint if it is assigned to this one but not sent yet,
    /// because the endpoint accepts no more requests.
    void giveUpConnecting(const core::EndpointId &id, std::string_view cause);
    /// The same for an own connection, because only another daemon reaches the endpoint. What was
    /// sent over one without an answer no longer counts as in progress there.
    void handleInterruptedPath(const core::EndpointId &id);
    /// Whether an endpoint that holds an older version of the adapter has not begun to answer.
    bool isQueuedAtOlderVersion(const fleet::AnnouncedVersion &newest) const;
    /// Sends the request to an endpoint with the newer version as well, as soon as one takes it.
    void seekNewerVersion();
    /// Takes the request from the queues of the endpoints that hold an older version, on which it
    /// may no longer begin.
    void giveUpOlderVersion(const fleet::AnnouncedVersion &newest);
    /// Ends the request with an error answer or an aborted stream, because the process exits.
    void finishForShutdown();
    /// Adds the attempts over own connections that no byte of an answer has come from.
    void addUnanswered(std::vector<SentRequest> &requests) const;
    /// The request at the endpoint that has it longest; empty if none has it.
    std::optional<decisions::RequestInProgress> inProgress() const;
    bool isWaiting() const { return m_isWaiting || attempt().awaitsRecord; }

private:
    /// Whether a request may have run on the endpoint with which the exchange failed.
    enum class Failure {
        NotSent, ///< Certain: the endpoint received nothing.
        NotRun,  ///< Certain: the endpoint refused the request.
        MayHaveRun,
        /// The daemon took the request from the endpoint's queue, as its turn may have come.
        TakenFromQueue,
    };

    /// Runs `work` and aborts only this request if it throws.
    void runGuarded(const std::function<void()> &work);
    /// Resolves the request, or waits a short time for the first configuration.
    void resolveOrWait();
    /// Finds the route and the service of the request.
    void resolve();
    /// Finds the software version at which a stream began that the client takes up; waits while
    /// that is not known, and refuses the request if it stays unknown.
    void findOrigin();
    void applyOrigin(const StreamOrigin &origin);
    bool isTakeUp() const;
    /// Answers with a status after which clients don't repeat the request, once it is certain that
    /// this follows from every configuration that must be in force; returns whether it did.
    bool failIfConfigurationIsCurrent(int status, std::string_view cause);
    /// Checks the key; answers the request if it is not admitted.
    bool isAdmitted();
    /// Refuses the request if its customer's quota is known to be used up.
    bool isQuotaUsedUp();
    /// Charges the customer before the first send; otherwise waits or refuses the request.
    bool tryCharge();
    /// Answers 429.
    void refuseForQuota(const customers::RequestCharge &charge);
    /// Gives the charge back if the request certainly did not run.
    void refundCharge();
    /// Refuses the request if it, or a part of its prompt, crashes endpoints.
    bool isRejectedForCrashes();
    /// Whether the answer to a send can be expected to be complete before the process is killed.
    bool canFinishBeforeStop() const;
    void chooseEndpoint();
    /// Waits for an endpoint, or refuses the request if waiting is pointless or took too long.
    void waitOrRefuse(decisions::NoEndpointReason reason);
    void setWaitsForLoad(bool isWaiting);
    /// Waits for a permit of the endpoint; empty ends the wait.
    void setWaitsForPermit(const std::optional<core::EndpointId> &id);
    /// Waits for a permit of the endpoint or for another endpoint, or refuses the request at once
    /// if there will be none in time.
    void waitForPermit(const core::EndpointId &id);
    void waitForRetryBudget();
    /// How long an interrupted request waits for its next endpoint.
    core::Duration maxResumeWait() const;
    core::TimePoint waitDeadline(decisions::NoEndpointReason reason) const;
    core::TimePoint waitDeadlineFromArrival(decisions::NoEndpointReason reason) const;
    /// Sends the request. An attempt in progress goes on beside the new one.
    void send(const fleet::Endpoint &endpoint);

    void startExchange(const fleet::Endpoint &endpoint, const platform::ForwardFields &forward);
    /// Takes a connection to the endpoint, or to another daemon if only that one reaches it.
    std::unique_ptr<http::ClientConnection> takeConnection(const fleet::Endpoint &endpoint);
    RequestAttempts::Handlers attemptHandlers();
    void handleReleased(RequestAttempt &attempt,
                        std::unique_ptr<http::ClientConnection> connection);
    /// The attempt no longer counts as in progress at its endpoint.
    void endCount(RequestAttempt &attempt);
    void handleRunEnded(const RequestAttempt &attempt, decisions::RunEnd reason);
    RequestAttempt &attempt() { return m_attempts.current(); }
    const RequestAttempt &attempt() const { return m_attempts.current(); }
    /// Whether an endpoint with an older version has the request in its queue.
    bool isQueuedAtOlderVersion(const RequestAttempt &attempt,
                                const fleet::AnnouncedVersion &newest) const;
    /// Continues with another attempt after the current one has failed. Precondition: there is one.
    void continueOtherAttempt(Failure failure, std::string_view cause);

    void handleHead(http::MessageHead &head);
    /// Reads what the daemon that forwards the request says; returns false if the answer is not the
    /// endpoint's own.
    bool applyForwardOutcome(http::MessageHead &head);
    /// Ends the attempt, whose request was certainly not sent, and selects an endpoint again.
    void giveUpUnsent(int number, std::string_view cause);
    /// Decides what failed if an exchange with a daemon that forwards the request breaks off.
    void handlePeerFailure(http::ExchangeEnd end);
    /// Handles the end of an exchange with a daemon that has no answer of the endpoint.
    void handleForwardFailure();
    /// Whether the answer is a stream and, if a stream has begun, may be the rest of it.
    bool isStreamHead(const http::MessageHead &head) const;
    /// Handles the first event of the current run and each later one.
    void handleProgress();
    /// Forwards the held events, unless the store must know the stream first.
    void forwardEvents();
    /// The request under which the stream is recorded.
    const core::RequestId &begunBy() const;
    /// Forwards the head of the stream, unless it was forwarded already.
    void startForwarding();
    void applyEndpointState(const http::MessageHead &head);
    void handleBody(std::string_view bytes);
    /// Ends the current exchange as malformed in the next event loop iteration, because its
    /// connection is on the stack.
    void endExchangeAsMalformed();
    /// Ends the current exchange in the next event loop iteration, because the process cannot hold
    /// its answer.
    void endExchangeOverBudget();
    void reserveAnswer(std::size_t length);
    void bufferAnswer(std::string_view bytes);
    /// Records the bytes that the answer holds; returns false if the budget doesn't allow them.
    bool shareAnswer(std::size_t bytes);
    /// Records that the endpoint runs the request without a crash.
    void recordSoundRun();
    /// Returns Broken or Malformed instead of a complete end if the stream is truncated.
    http::ExchangeEnd verifiedEnd(http::ExchangeEnd end) const;
    void handleExchangeEnd(http::ExchangeEnd reportedEnd);
    void handleConnectionFailure(http::ExchangeEnd end);
    decisions::RequestIdentity makeIdentity() const;
    void handleStreamEnd(http::ExchangeEnd end);
    void sendBufferedAnswer();
    void handleRefusal();
    void handleSendFailure(Failure failure, std::string_view cause);
    void countRun(bool isAttemptUsed);
    /// Counts a failed send and returns whether the request may be sent again. Takes the retry from
    /// the budget, unless chooseEndpoint() does so later.
    bool recordFailedSend(Failure failure);

    /// Time without activity of the endpoint after which the exchange counts as stalled.
    core::Duration stallLimit() const;
    void armStallTimer();
    void checkStallAfter(core::Duration delay);
    /// Whether the request waits only at endpoints with a version that is no longer used.
    bool waitsAtOlderVersions() const;
    /// Sends the request to another endpoint as well, if one takes it now.
    void handleStall();
    /// An endpoint to which the request can also be sent now; one that has it already only if
    /// another connection may help.
    const fleet::Endpoint *findReplacement();
    void handleDeadline();
    void handleDisconnect();
    /// Answers 503. The cause is a fixed text, which the metrics count; the log contains `details`
    /// too.
    void refuse(std::string_view cause, core::Duration retryAfter, std::string_view details = {});
    /// Keeps the current endpoint's own failure for the case that no other answer follows.
    void keepFailure();
    /// Answers with the status, or with the endpoint's own failure if one was kept.
    void fail(int status, std::string_view cause);
    void respondWithKeptFailure(std::string_view cause);
    /// Aborts an answer that was forwarded in part.
    void abortStream(std::string_view cause);
    void finish();
    /// Reads from the endpoints only while the client keeps up with the answer.
    void applyBackpressure();
    void endPrefill(RequestAttempt &attempt);
    void recordPrefillCost();
    /// Whether the request is a stream whose gaps this daemon predicts.
    bool isForecast() const;
    void setStreamTargets();
    /// Predicts first event and gap of the attempt. Precondition: isForecast().
    void predictStream(const fleet::Endpoint &endpoint, RequestAttempt &attempt) const;
    /// Records what an event says about the speed of its endpoint.
    void recordStreamSpeed();
    /// What was predicted for the attempt, as text for the log; empty if nothing was.
    std::string describePrediction() const;
    void recordRunTime();
    void logIfLate() const;
    void logRepeatedSend() const;
    /// Logs what is known of the silent endpoint and of its replacement, if there is one.
    void logSilence(const fleet::Endpoint *replacement);
    /// The last event that the client has, as text for the log.
    std::string describeProgress() const;
    /// Whether what the last change of the configuration started may still be going on.
    bool isConfigurationRecent() const;
    /// The configuration in force and its age, as text for the log.
    std::string describeConfiguration() const;
    fleet::AdapterKey adapterKey() const { return {m_fields.model, m_fields.adapter}; }
    core::TimePoint deadline() const;
    core::TimePoint now() const { return m_context.timers.now(); }

    RequestContext &m_context;
    std::shared_ptr<http::ServerExchange> m_exchange;
    DoneHandler m_onDone;
    platform::RequestFields m_fields;
    decisions::RequestIdentity m_identity; ///< Set when the request is resolved.
    /// Keeps m_route valid; empty until the request is resolved.
    std::shared_ptr<const decisions::RouteTable> m_routes;
    const fleet::Route *m_route = nullptr;
    std::unique_ptr<customers::RequestAdmission> m_admission; ///< Set when the route is known.
    core::ServiceId m_service;
    EndpointFinder m_finder;

    RequestAttempts m_attempts;
    std::set<http::ConnectionNumber> m_usedConnections;
    std::set<net::Address> m_failedPeers; ///< Daemons whose connection broke during the request.
    /// Where the stream began; events of another software version must not follow.
    std::optional<StreamOrigin> m_origin;
    int m_sends = 0;
    int m_runs = 0; ///< Sends that may have run and have ended.
    /// The same without those that were taken from a queue, which count as no attempt of the route.
    int m_usedAttempts = 0;
    bool m_isWaiting = false;
    bool m_waitsForLoad = false;                     ///< Is counted in RequestContext::waiting.
    std::optional<core::EndpointId> m_awaitedPermit; ///< Is counted in RequestContext::limits.
    bool m_isPreferenceRecorded = false;             ///< See RateLimits::recordPreference().
    bool m_isDone = false;

    std::optional<net::HttpResponse> m_failure;    ///< An endpoint's own, while others are tried.
    decisions::BufferBudget::Share m_failureShare; ///< Of its body.
    int m_status = 0;                ///< Sent to the client; zero if the answer was aborted.
    std::string m_mediaType;         ///< Of the stream that has begun.
    bool m_isForwarding = false;     ///< The head was forwarded; events follow as they arrive.
    bool m_needsRetryBudget = false; ///< The next send must be taken from the retry budget.
    bool m_isReadPaused = false; ///< Nothing is read from the endpoints; see applyBackpressure().
    core::TimePoint m_readResumedAt;
    int m_refusedReplacements = 0; ///< Sends beside a silent endpoint that certainly did not run.
    int m_failedReplacements = 0;  ///< All that failed.
    StreamTimes m_times;
    std::optional<core::TimePoint> m_interruptedAt; ///< When an exchange last broke.
    net::TimerService::Subscription m_deadlineTimer;
    net::TimerService::Subscription m_stallTimer;
};

} // namespace jackdawlead::gateway
