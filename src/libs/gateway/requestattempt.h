#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/bufferbudget.h"
#include "decisions/streams/streamprediction.h"
#include "fleet/endpoint.h"
#include "gateway/eventfilter.h"
#include "gateway/overflowsend.h"
#include "gateway/requestforwarder.h"
#include "http/clientconnection.h"
#include "platform/endpointcodec.h"

#include <memory>
#include <optional>
#include <string>

namespace jackdawlead::gateway {

/// One send of a request to an endpoint, and what that endpoint has answered so far. Thread safety:
/// the event loop's thread only.
struct RequestAttempt
{
    explicit RequestAttempt(decisions::BufferBudget &buffers)
        : answerShare(buffers)
    { }

    /// Whether the endpoint has sent nothing of its answer yet.
    bool isQueued() const { return isInProgress && headAt == core::TimePoint(); }
    /// Whether bytes of the request may have arrived at the endpoint. Precondition: isInProgress.
    bool mayHaveSent() const { return m_connection->mayHaveSent(); }
    /// Whether an earlier exchange used the connection. Precondition: isInProgress.
    bool isConnectionReused() const { return m_connection->isReused(); }

    int number = 0; ///< Counts the sends of the request.
    core::EndpointId endpoint;
    fleet::StartTime incarnation {};       ///< Of the endpoint, when the request was sent.
    core::SoftwareVersion softwareVersion; ///< The same.
    std::optional<int> adapterVersion;     ///< That the endpoint held then, if known.
    /// The daemon that sends the request to the endpoint for this one, if there is one.
    std::optional<net::Address> via;
    ForwardOutcome outcome = ForwardOutcome::Answered; ///< What that daemon answered.
    bool isCloseDelimitedThere = false; ///< The connection's end delimits the answer there.
    bool isInProgress = false;          ///< An exchange is in progress.
    core::TimePoint sentAt;
    core::TimePoint headAt; ///< When the head arrived.
    OverflowSend overflow;
    double loadAtSend = 0;        ///< Slots in use at the endpoint when the request was sent.
    int pendingPrefillTokens = 0; ///< Until the first event.
    /// What was predicted when the request was sent, if it is a stream with a target gap.
    std::optional<decisions::streams::StreamPrediction> prediction;
    double otherTokensAtSend = 0; ///< Prompt tokens of other daemons expected there then.
    std::optional<core::TimePoint> lastProgressAt; ///< The last event of this run.
    bool isCounted = false;         ///< The pool counts it as in progress at the endpoint.
    bool wasLightlyLoaded = false;  ///< The endpoint had no pending prefill and few streams then.
    bool isSilenceReported = false; ///< The log names the silence of the endpoint.
    bool isSilenceCounted = false;  ///< The health of the endpoint takes it into account.

    http::MessageHead answer;
    platform::ResponseTraits traits;
    std::string answerBody;
    decisions::BufferBudget::Share answerShare; ///< Of answerBody and heldEvents.
    bool isStream = false;                      ///< The endpoint answers with a stream.
    bool isStreamMalformed = false;
    bool awaitsRecord = false; ///< The first event is held until the stream is recorded.
    bool isSound = false;      ///< The run was recorded as sound.
    std::optional<core::TimePoint> runBeganAt; ///< The first event of this run.
    EventFilter events;
    std::string heldEvents; ///< Complete events that were not forwarded yet.

private:
    friend class RequestAttempts;
    std::unique_ptr<http::ClientConnection> m_connection; ///< While isInProgress.
};

} // namespace jackdawlead::gateway
