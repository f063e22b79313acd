#include "observability/gatewaymetrics.h"

#include <prometheus/text_serializer.h>

#include <map>
#include <string>

namespace jackdawlead::observability {

namespace {

// The bounds lie around the target latencies (0.3 to 1 s), pauses (0.25 s) and deadlines (3 to 20
// s) of the site files.
const prometheus::Histogram::BucketBoundaries secondsBuckets {0.01, 0.025, 0.05, 0.1, 0.25, 0.4,
                                                              0.8,  1.0,   2.0,  4.0, 12.0, 20.0};

prometheus::Family<prometheus::Counter> &counters(prometheus::Registry &registry, const char *name,
                                                  const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

std::map<std::string, std::string> ageLabel(bool isConfigurationRecent)
{
    return {{"configuration", isConfigurationRecent ? "recent" : "older"}};
}

prometheus::Histogram &histogram(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add(
        {}, secondsBuckets);
}

prometheus::Gauge &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

GatewayMetrics::GatewayMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_responses(counters(*m_registry, "jackdawlead_answers_total",
                           "Answers by status; 0 for those broken off"))
    , m_refusals(counters(*m_registry, "jackdawlead_refusals_total",
                          "Requests refused as not run, by cause"))
    , m_retries(counters(*m_registry, "jackdawlead_repeated_sends_total",
                         "Sends beyond the first of a request, by cause"))
    , m_orders(counters(*m_registry, "jackdawlead_orders_total",
                        "Orders to endpoints by operation and result"))
    , m_endedRuns(counters(*m_registry, "jackdawlead_ended_runs_total",
                           "Runs at endpoints that this daemon ended before their answer was "
                           "complete, by cause"))
    , m_begunAnswers(counters(*m_registry, "jackdawlead_begun_answers_total",
                              "Streams whose first event was forwarded, by whether the "
                              "configuration was new then"))
    , m_interruptedAnswers(counters(*m_registry, "jackdawlead_interrupted_answers_total",
                                    "Answers broken off after their begin, by whether the "
                                    "configuration was new then"))
    , m_truncatedStreams(counters(*m_registry, "jackdawlead_truncated_streams_total",
                                  "Streams of endpoints that ended inside an event, by what "
                                  "delimited them"))
    , m_responseTime(histogram(*m_registry, "jackdawlead_answer_seconds",
                               "From the first byte of a request to the end of its answer"))
    , m_firstEvent(histogram(*m_registry, "jackdawlead_first_event_seconds",
                             "From the first byte of a request to the first event of its stream"))
    , m_longestPause(histogram(*m_registry, "jackdawlead_longest_pause_seconds",
                               "The longest pause between two events of a stream"))
    , m_waitTime(histogram(*m_registry, "jackdawlead_wait_seconds",
                           "From the first byte of a request to its first send"))
    , m_planningTime(histogram(*m_registry, "jackdawlead_planning_seconds",
                               "A pass of the coordinator over all endpoints"))
    , m_loadConcurrencyLimit(
          gauge(*m_registry, "jackdawlead_transit_limit",
                "Adapters that the coordinator has brought from the store at once"))
    , m_generation(gauge(*m_registry, "jackdawlead_config_generation", "Configuration in force"))
    , m_endpoints(gauge(*m_registry, "jackdawlead_endpoints", "Endpoints that are known"))
    , m_storeReachable(gauge(*m_registry, "jackdawlead_store_in_touch",
                             "1 if the last calls to the store were answered"))
    , m_takeUps(counters(*m_registry, "jackdawlead_take_ups_total",
                         "Streams that clients take up, by whether their software version is known "
                         "and has an endpoint"))
    , m_bufferedBytes(gauge(*m_registry, "jackdawlead_buffered_bytes",
                            "Bytes of requests and answers that the process holds."))
    , m_streamRecordCalls(gauge(*m_registry, "jackdawlead_stream_record_calls",
                                "Calls to the store about the versions of streams since the start"))
    , m_storeEra(gauge(*m_registry, "jackdawlead_store_era",
                       "Rises each time the store comes back from a copy; 0 if it states no era"))
    , m_isCoordinator(gauge(*m_registry, "jackdawlead_is_coordinator",
                            "1 on the daemon that holds the lease for orders"))
    , m_requestsInProgress(gauge(*m_registry, "jackdawlead_requests_in_progress",
                                 "Requests of callers that are not answered yet"))
    , m_controlCalls(gauge(*m_registry, "jackdawlead_control_calls",
                           "Calls to store, endpoints and daemons since the start"))
    , m_limitedEndpoints(gauge(*m_registry, "jackdawlead_limited_endpoints",
                               "Endpoints whose request limit is in force"))
    , m_blockedPromptParts(gauge(*m_registry, "jackdawlead_blocked_prompt_parts",
                                 "Parts of prompts whose requests are rejected"))
    , m_limitedSends(counters(*m_registry, "jackdawlead_limited_sends_total",
                              "Requests sent to endpoints whose request limit is in force")
                         .Add({}))
    , m_heldRequests(counters(*m_registry, "jackdawlead_limit_waits_total",
                              "Requests that waited for a permit because of a request limit")
                         .Add({}))
    , m_forwardedByPeer(counters(*m_registry, "jackdawlead_forwarded_by_peer_total",
                                 "Requests that other daemons sent to endpoints for this one")
                            .Add({}))
    , m_forwardedForPeer(counters(*m_registry, "jackdawlead_forwarded_for_peer_total",
                                  "Requests that this daemon sent to endpoints for others")
                             .Add({}))
    , m_cutOff(gauge(*m_registry, "jackdawlead_cut_off",
                     "1 while this daemon reaches endpoints only through other daemons"))
    , m_customerRequests(counters(*m_registry, "jackdawlead_customer_requests_total",
                                  "Requests with a valid key, by customer"))
    , m_invalidKeys(counters(*m_registry, "jackdawlead_invalid_keys_total",
                             "Requests refused with 401 because of their key")
                        .Add({}))
    , m_daemonsWithoutKeys(gauge(*m_registry, "jackdawlead_daemons_without_keys",
                                 "On the coordinator: daemons that do not check keys although the "
                                 "configuration lists customers"))
    , m_customerResults(counters(*m_registry, "jackdawlead_customer_results_total",
                                 "Requests of customers by result: served, or refused because the "
                                 "quota is used up"))
    , m_customerTokens(counters(*m_registry, "jackdawlead_customer_tokens_total",
                                "What requests of customers with a quota were charged"))
    , m_customerRefunds(counters(*m_registry, "jackdawlead_customer_refunds_total",
                                 "Charges given back, because the request did not run"))
    , m_customerHeld(prometheus::BuildGauge()
                         .Name("jackdawlead_customer_tokens_held")
                         .Help("What this daemon may charge the customer now")
                         .Register(*m_registry))
    , m_streamChoices(counters(*m_registry, "jackdawlead_stream_choices_total",
                               "Choices of endpoints for streams by predicted gaps"))
    , m_overflowRequests(counters(*m_registry, "jackdawlead_overflow_requests_total",
                                  "Sends that left the failure domain, by neighbour and reason"))
    , m_overflowBytes(counters(*m_registry, "jackdawlead_overflow_bytes_total",
                               "Bytes of answers to such sends, by neighbour and reason"))
{ }

void GatewayMetrics::recordOverflowRequest(const std::string &neighbour, const std::string &reason)
{
    m_overflowRequests.Add({{"neighbour", neighbour}, {"reason", reason}}).Increment();
}

void GatewayMetrics::recordOverflowBytes(const std::string &neighbour, const std::string &reason,
                                         double bytes)
{
    m_overflowBytes.Add({{"neighbour", neighbour}, {"reason", reason}}).Increment(bytes);
}

void GatewayMetrics::recordResponse(int status, core::Duration total)
{
    m_responses.Add({{"status", std::to_string(status)}}).Increment();
    m_responseTime.Observe(core::toSeconds(total));
}

void GatewayMetrics::recordRefusal(const std::string &cause)
{
    m_refusals.Add({{"cause", cause}}).Increment();
}

void GatewayMetrics::recordRetry(const std::string &cause)
{
    m_retries.Add({{"cause", cause}}).Increment();
}

void GatewayMetrics::recordEndedRun(const std::string &cause)
{
    m_endedRuns.Add({{"cause", cause}}).Increment();
}

void GatewayMetrics::recordBegunAnswer(bool isConfigurationRecent)
{
    m_begunAnswers.Add(ageLabel(isConfigurationRecent)).Increment();
}

void GatewayMetrics::recordInterruptedAnswer(bool isConfigurationRecent)
{
    m_interruptedAnswers.Add(ageLabel(isConfigurationRecent)).Increment();
}

void GatewayMetrics::recordTruncatedStream(bool isAtClose)
{
    m_truncatedStreams.Add({{"delimiter", isAtClose ? "close" : "framing"}}).Increment();
}

void GatewayMetrics::recordPlanningPass(core::Duration time, int loadConcurrencyLimit)
{
    m_planningTime.Observe(core::toSeconds(time));
    m_loadConcurrencyLimit.Set(loadConcurrencyLimit);
}

void GatewayMetrics::recordOrderOutcome(const std::string &operation, const std::string &result)
{
    m_orders.Add({{"operation", operation}, {"result", result}}).Increment();
}

std::string GatewayMetrics::render() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace jackdawlead::observability
