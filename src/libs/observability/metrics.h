#pragma once

#include "core/outcome.h"
#include "core/time.h"
#include "observability/burn.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace jackdawlead::observability {

/// The metrics of one daemon. Thread safety: any thread.
class Metrics
{
public:
    /// The limit of each objective becomes a bucket bound of its histogram.
    explicit Metrics(const Objectives &objectives = defaultObjectives());

    void recordRequest(core::Outcome outcome, core::Duration total);
    void recordFirstToken(core::Duration delay);
    void recordLoadStall(core::Duration delay);
    void recordLoadOrder(bool succeeded);
    void recordEvictionOrder(bool succeeded);
    void setGeneration(std::uint64_t generation);
    void setOwnedEndpoints(std::size_t count);
    void setObjectApiCalls(std::uint64_t count);
    void setControlBytes(std::uint64_t sent, std::uint64_t received);

    /// The current counts of the histograms, and how many of them are within the objectives.
    BurnSample burnSample() const;
    /// All metrics in the Prometheus text format.
    std::string render() const;

private:
    Objectives m_objectives;
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Counter> &m_orders;
    prometheus::Histogram &m_answerSeconds;
    prometheus::Histogram &m_firstTokenSeconds;
    prometheus::Histogram &m_loadStallSeconds;
    prometheus::Gauge &m_generation;
    prometheus::Gauge &m_ownedEndpoints;
    prometheus::Gauge &m_objectApiCalls;
    prometheus::Gauge &m_controlBytesSent;
    prometheus::Gauge &m_controlBytesReceived;
};

} // namespace jackdawlead::observability
