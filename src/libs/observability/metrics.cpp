#include "observability/metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>

namespace jackdawlead::observability {

namespace {

const prometheus::Histogram::BucketBoundaries secondsBuckets {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.44, 0.75, 1.0, 2.0, 5.0, 10.0, 30.0};

prometheus::Histogram &histogram(prometheus::Registry &registry, const char *name, const char *help,
                                 const Objective &objective)
{
    prometheus::Histogram::BucketBoundaries buckets = secondsBuckets;
    const double limit = core::toSeconds(objective.limit);
    const auto position = std::ranges::lower_bound(buckets, limit);
    if (position == buckets.end() || *position != limit)
        buckets.insert(position, limit);
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, buckets);
}

BurnCounts countsOf(const prometheus::Histogram &histogram, const Objective &objective)
{
    const prometheus::ClientMetric metric = histogram.Collect();
    BurnCounts counts;
    counts.total = metric.histogram.sample_count;
    for (const prometheus::ClientMetric::Bucket &bucket : metric.histogram.bucket)
        if (bucket.upper_bound <= core::toSeconds(objective.limit))
            counts.good = bucket.cumulative_count;
    return counts;
}

prometheus::Gauge &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

Metrics::Metrics(const Objectives &objectives)
    : m_objectives(objectives)
    , m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(prometheus::BuildCounter()
                     .Name("jackdawlead_requests_total")
                     .Help("Requests of callers by outcome")
                     .Register(*m_registry))
    , m_orders(prometheus::BuildCounter()
                   .Name("jackdawlead_orders_total")
                   .Help("Orders to engines by kind and result")
                   .Register(*m_registry))
    , m_answerSeconds(histogram(*m_registry, "jackdawlead_answer_seconds",
                                "Time from accepting a request to its last byte",
                                objectives[static_cast<std::size_t>(Indicator::Answer)]))
    , m_firstTokenSeconds(histogram(*m_registry, "jackdawlead_first_token_seconds",
                                    "Time from accepting a request to its first byte",
                                    objectives[static_cast<std::size_t>(Indicator::FirstToken)]))
    , m_loadStallSeconds(histogram(*m_registry, "jackdawlead_load_stall_seconds",
                                   "Time a request waited for its adapter",
                                   objectives[static_cast<std::size_t>(Indicator::LoadStall)]))
    , m_generation(
          gauge(*m_registry, "jackdawlead_config_generation", "Configuration generation in force"))
    , m_ownedEndpoints(
          gauge(*m_registry, "jackdawlead_owned_endpoints", "Endpoints that this daemon owns"))
    , m_objectApiCalls(gauge(*m_registry, "jackdawlead_object_api_calls",
                             "Calls sent to the object API since the start"))
    , m_controlBytesSent(gauge(*m_registry, "jackdawlead_control_bytes_sent",
                               "Bytes sent to the platform and other daemons since the start"))
    , m_controlBytesReceived(
          gauge(*m_registry, "jackdawlead_control_bytes_received",
                "Bytes received from the platform and other daemons since the start"))
{ }

void Metrics::recordRequest(core::Outcome outcome, core::Duration total)
{
    m_requests.Add({{"outcome", std::string(core::toString(outcome))}}).Increment();
    if (outcome == core::Outcome::Completed)
        m_answerSeconds.Observe(core::toSeconds(total));
}

void Metrics::recordFirstToken(core::Duration delay)
{
    m_firstTokenSeconds.Observe(core::toSeconds(delay));
}

void Metrics::recordLoadStall(core::Duration delay)
{
    m_loadStallSeconds.Observe(core::toSeconds(delay));
}

void Metrics::recordLoadOrder(bool succeeded)
{
    m_orders.Add({{"kind", "load"}, {"result", succeeded ? "ok" : "failed"}}).Increment();
}

void Metrics::recordEvictionOrder(bool succeeded)
{
    m_orders.Add({{"kind", "evict"}, {"result", succeeded ? "ok" : "failed"}}).Increment();
}

void Metrics::setGeneration(std::uint64_t generation)
{
    m_generation.Set(static_cast<double>(generation));
}

void Metrics::setOwnedEndpoints(std::size_t count)
{
    m_ownedEndpoints.Set(static_cast<double>(count));
}

void Metrics::setObjectApiCalls(std::uint64_t count)
{
    m_objectApiCalls.Set(static_cast<double>(count));
}

BurnSample Metrics::burnSample() const
{
    BurnSample sample;
    const auto countInto = [&](Indicator indicator, const prometheus::Histogram &histogram) {
        const auto index = static_cast<std::size_t>(indicator);
        sample[index] = countsOf(histogram, m_objectives[index]);
    };
    countInto(Indicator::FirstToken, m_firstTokenSeconds);
    countInto(Indicator::Answer, m_answerSeconds);
    countInto(Indicator::LoadStall, m_loadStallSeconds);
    return sample;
}

void Metrics::setControlBytes(std::uint64_t sent, std::uint64_t received)
{
    m_controlBytesSent.Set(static_cast<double>(sent));
    m_controlBytesReceived.Set(static_cast<double>(received));
}

std::string Metrics::render() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace jackdawlead::observability
