#include "observability/metrics.h"

#include <prometheus/text_serializer.h>

namespace jackdawlead::observability {

namespace {

// 0.44 s is the target for the first token and is therefore a bucket limit.
const prometheus::Histogram::BucketBoundaries secondsBuckets {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.44, 0.75, 1.0, 2.0, 5.0, 10.0, 30.0};

double seconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
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

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(prometheus::BuildCounter()
                     .Name("jackdawlead_requests_total")
                     .Help("Requests of callers by outcome")
                     .Register(*m_registry))
    , m_orders(prometheus::BuildCounter()
                   .Name("jackdawlead_orders_total")
                   .Help("Orders to engines by kind and result")
                   .Register(*m_registry))
    , m_answerSeconds(histogram(*m_registry, "jackdawlead_answer_seconds",
                                "Time from accepting a request to its last byte"))
    , m_firstTokenSeconds(histogram(*m_registry, "jackdawlead_first_token_seconds",
                                    "Time from accepting a request to its first byte"))
    , m_loadStallSeconds(histogram(*m_registry, "jackdawlead_load_stall_seconds",
                                   "Time a request waited for its adapter"))
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

void Metrics::requestEnded(core::Outcome outcome, core::Duration total)
{
    m_requests.Add({{"outcome", std::string(core::toString(outcome))}}).Increment();
    if (outcome == core::Outcome::Completed)
        m_answerSeconds.Observe(seconds(total));
}

void Metrics::firstTokenAfter(core::Duration delay)
{
    m_firstTokenSeconds.Observe(seconds(delay));
}

void Metrics::loadStall(core::Duration delay)
{
    m_loadStallSeconds.Observe(seconds(delay));
}

void Metrics::loadOrdered(bool succeeded)
{
    m_orders.Add({{"kind", "load"}, {"result", succeeded ? "ok" : "failed"}}).Increment();
}

void Metrics::evictionOrdered(bool succeeded)
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
