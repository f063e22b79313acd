#pragma once

#include "core/time.h"

#include <cstddef>

/// What daemons agree on when one of them sends a request to an endpoint for another one.
namespace jackdawlead::gateway::forwarding {

/// The body is the request as it is written to the endpoint.
inline constexpr char requestPath[] = "/endpoint-request";
/// Asks whether the daemon that answers can open a connection to the endpoint.
inline constexpr char checkPath[] = "/endpoint-check";

/// In requests: the id of the endpoint.
inline constexpr char endpointField[] = "Jackdawlead-Endpoint";
/// In requests: "1" if the request may run more than once.
inline constexpr char repeatableField[] = "Jackdawlead-Repeatable";
/// In requests: "1" if the endpoint's answer has no body, because the request has method HEAD.
inline constexpr char headField[] = "Jackdawlead-Head";
/// In checks: "1" if an open connection is not enough and the endpoint must answer.
inline constexpr char answerRequiredField[] = "Jackdawlead-Answer-Required";
/// In answers: whether it is the endpoint's, or why there is none; one of the words below. An
/// answer without it comes from a daemon that did not handle the message, so that nothing was sent,
/// or says of a check only that a connection could be opened.
inline constexpr char outcomeField[] = "Jackdawlead-Outcome";
/// In answers: present if the end of the connection delimited the endpoint's answer.
inline constexpr char closeDelimitedField[] = "Jackdawlead-Close-Delimited";

/// The answer is the endpoint's own; of a check: the endpoint has just answered.
inline constexpr char answered[] = "answered";
/// Not sent: the daemon could not connect to the endpoint.
inline constexpr char unreachable[] = "unreachable";
/// Of a check: a connection is open, or was, and the endpoint has not answered.
inline constexpr char silent[] = "silent";
/// Not sent: the daemon reaches the endpoint only through another daemon itself.
inline constexpr char interrupted[] = "interrupted";
/// Not sent: the daemon knows no such endpoint, or only one that is leaving.
inline constexpr char notServing[] = "not-serving";
/// Not sent: the daemon is stopping or sends too many requests for others, or the request contains
/// a customer's key. Daemons of earlier releases take a word that they don't know for a run.
inline constexpr char busy[] = "busy";
/// May have run: the connection to the endpoint ended before its answer began.
inline constexpr char broken[] = "broken";

/// Time in which a daemon answers a check: connecting takes 60 ms to another region.
inline constexpr core::Duration checkTime = std::chrono::milliseconds(500);
/// Requests that a daemon sends for others at the same time; each takes two descriptors.
inline constexpr std::size_t maxForwardedRequests = 512;

} // namespace jackdawlead::gateway::forwarding
