#pragma once

#include "core/time.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace jackdawlead::observability {

/// The metrics of a daemon that runs as a gateway on the platform. Thread safety: any thread.
class GatewayMetrics
{
public:
    GatewayMetrics();

    /// Records the end of a request, `total` after its first byte; `status` is 0 if the response
    /// was interrupted.
    void recordResponse(int status, core::Duration total);
    void recordRefusal(const std::string &cause);
    void recordRetry(const std::string &cause);
    /// Records a run that this daemon ended at its endpoint before the answer was complete.
    void recordEndedRun(const std::string &cause);
    /// Records a stream whose first event goes to its client; `isConfigurationRecent` if the
    /// configuration in force was applied only some seconds before.
    void recordBegunAnswer(bool isConfigurationRecent);
    /// Records a stream that was broken off after its first event.
    void recordInterruptedAnswer(bool isConfigurationRecent);
    /// Records a stream that ended as its framing says, but inside an event or without any;
    /// `isAtClose` if the end of the connection delimited it.
    void recordTruncatedStream(bool isAtClose);
    void recordFirstEvent(core::Duration delay) { m_firstEvent.Observe(core::toSeconds(delay)); }
    void recordLongestPause(core::Duration pause)
    {
        m_longestPause.Observe(core::toSeconds(pause));
    }
    void recordWaitTime(core::Duration wait) { m_waitTime.Observe(core::toSeconds(wait)); }
    void recordOrderOutcome(const std::string &operation, const std::string &result);
    /// Records the duration of a planning pass of the coordinator and the limit of concurrent
    /// adapter loads from the store.
    void recordPlanningPass(core::Duration time, int loadConcurrencyLimit);
    void setGeneration(double generation) { m_generation.Set(generation); }
    void setEndpoints(double count) { m_endpoints.Set(count); }
    void setStoreReachable(bool isReachable) { m_storeReachable.Set(isReachable ? 1 : 0); }
    void recordTakeUp(const std::string &outcome)
    {
        m_takeUps.Add({{"outcome", outcome}}).Increment();
    }
    void setBufferedBytes(double bytes) { m_bufferedBytes.Set(bytes); }
    void setStreamRecordCalls(double count) { m_streamRecordCalls.Set(count); }
    void setStoreEra(double era) { m_storeEra.Set(era); }
    void setIsCoordinator(bool isCoordinator) { m_isCoordinator.Set(isCoordinator ? 1 : 0); }
    void setRequestsInProgress(double count) { m_requestsInProgress.Set(count); }
    void setLimitedEndpoints(double count) { m_limitedEndpoints.Set(count); }
    void setBlockedPromptParts(double count) { m_blockedPromptParts.Set(count); }
    /// Records a request that another daemon sends to the endpoint for this one.
    void recordForwardedByPeer() { m_forwardedByPeer.Increment(); }
    /// Records a request that this daemon sends to the endpoint for another one.
    void recordForwardedForPeer() { m_forwardedForPeer.Increment(); }
    /// Records a send that leaves the failure domain for the neighbour.
    void recordOverflowRequest(const std::string &neighbour, const std::string &reason);
    /// Records bytes of an answer from the neighbour.
    void recordOverflowBytes(const std::string &neighbour, const std::string &reason, double bytes);
    void setCutOff(bool isCutOff) { m_cutOff.Set(isCutOff ? 1 : 0); }
    /// Records a choice of an endpoint for a stream by predicted gaps, also a repeated one.
    void recordStreamChoice(const std::string &kind)
    {
        m_streamChoices.Add({{"kind", kind}}).Increment();
    }
    void recordHeldRequest() { m_heldRequests.Increment(); }
    void recordLimitedSend() { m_limitedSends.Increment(); }
    /// Records a request with a key of the customer.
    void recordCustomerRequest(const std::string &customer)
    {
        m_customerRequests.Add({{"customer", customer}}).Increment();
    }
    /// Records a request that was answered with 401.
    void recordInvalidKey() { m_invalidKeys.Increment(); }
    void setDaemonsWithoutKeys(double count) { m_daemonsWithoutKeys.Set(count); }
    /// Records what became of a request of a customer: "served" or "refused".
    void recordCustomerResult(const std::string &customer, const std::string &result)
    {
        m_customerResults.Add({{"customer", customer}, {"result", result}}).Increment();
    }
    void recordCustomerTokens(const std::string &customer, double tokens)
    {
        m_customerTokens.Add({{"customer", customer}}).Increment(tokens);
    }
    /// Records tokens that were given back, because their request did not run.
    void recordCustomerRefund(const std::string &customer, double tokens)
    {
        m_customerRefunds.Add({{"customer", customer}}).Increment(tokens);
    }
    /// Sets the tokens that this daemon may spend for the customer now.
    void setCustomerHeld(const std::string &customer, double tokens)
    {
        m_customerHeld.Add({{"customer", customer}}).Set(tokens);
    }
    void setControlCalls(double count) { m_controlCalls.Set(count); }

    /// All metrics in the Prometheus text format.
    std::string render() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_responses;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_orders;
    prometheus::Family<prometheus::Counter> &m_endedRuns;
    prometheus::Family<prometheus::Counter> &m_begunAnswers;
    prometheus::Family<prometheus::Counter> &m_interruptedAnswers;
    prometheus::Family<prometheus::Counter> &m_truncatedStreams;
    prometheus::Histogram &m_responseTime;
    prometheus::Histogram &m_firstEvent;
    prometheus::Histogram &m_longestPause;
    prometheus::Histogram &m_waitTime;
    prometheus::Histogram &m_planningTime;
    prometheus::Gauge &m_loadConcurrencyLimit;
    prometheus::Gauge &m_generation;
    prometheus::Gauge &m_endpoints;
    prometheus::Gauge &m_storeReachable;
    prometheus::Family<prometheus::Counter> &m_takeUps;
    prometheus::Gauge &m_bufferedBytes;
    prometheus::Gauge &m_streamRecordCalls;
    prometheus::Gauge &m_storeEra;
    prometheus::Gauge &m_isCoordinator;
    prometheus::Gauge &m_requestsInProgress;
    prometheus::Gauge &m_controlCalls;
    prometheus::Gauge &m_limitedEndpoints;
    prometheus::Gauge &m_blockedPromptParts;
    prometheus::Counter &m_limitedSends;
    prometheus::Counter &m_heldRequests;
    prometheus::Counter &m_forwardedByPeer;
    prometheus::Counter &m_forwardedForPeer;
    prometheus::Gauge &m_cutOff;
    prometheus::Family<prometheus::Counter> &m_customerRequests;
    prometheus::Counter &m_invalidKeys;
    prometheus::Gauge &m_daemonsWithoutKeys;
    prometheus::Family<prometheus::Counter> &m_customerResults;
    prometheus::Family<prometheus::Counter> &m_customerTokens;
    prometheus::Family<prometheus::Counter> &m_customerRefunds;
    prometheus::Family<prometheus::Gauge> &m_customerHeld;
    prometheus::Family<prometheus::Counter> &m_streamChoices;
    prometheus::Family<prometheus::Counter> &m_overflowRequests;
    prometheus::Family<prometheus::Counter> &m_overflowBytes;
};

} // namespace jackdawlead::observability
