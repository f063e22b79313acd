#include "gateway/overflowrouter.h"

#include "decisions/routing/domainoptions.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>

namespace jackdawlead::gateway {

namespace {

// Endpoints come and go within seconds; the sum over all of them is not formed for each choice.
constexpr core::Duration homeSlotsPeriod = std::chrono::milliseconds(500);

const char *nameOf(decisions::routing::OverflowReason reason)
{
    switch (reason) {
    case decisions::routing::OverflowReason::Shortage:
        return "shortage";
    case decisions::routing::OverflowReason::NoCopy:
        return "no copy of the adapter";
    case decisions::routing::OverflowReason::None:
        break;
    }
    return "no usable endpoint";
}

std::string describe(const std::vector<decisions::routing::DomainState> &domains)
{
    std::string text;
    for (const decisions::routing::DomainState &domain : domains) {
        absl::StrAppend(&text, text.empty() ? "" : ", ", domain.domain.value(), " ",
                        static_cast<int>(domain.load), " of ", static_cast<int>(domain.slots),
                        " slots");
    }
    return text;
}

std::string describe(const std::optional<core::Duration> &age)
{
    return age ? absl::StrCat(core::toMilliseconds(*age), " ms old") : "unknown";
}

double domainCount(const fleet::HostSettings &settings)
{
    return static_cast<double>(std::max<std::size_t>(1, settings.regions.size()));
}

} // namespace

double OverflowRouter::homeSlots(const core::ServiceId &service, core::TimePoint now)
{
    Service &state = m_services[service];
    if (state.homeSlotsAt && now - *state.homeSlotsAt < homeSlotsPeriod)
        return state.homeSlots;
    state.homeSlots = 0;
    for (const auto &[id, endpoint] : m_watch.endpoints()) {
        if (endpoint.service == service && endpoint.domain == m_settings.domain
            && !endpoint.isLeaving)
            state.homeSlots += endpoint.slots;
    }
    state.homeSlotsAt = now;
    return state.homeSlots;
}

double OverflowRouter::prefer(std::vector<decisions::EndpointOption> &options,
                              const OverflowInputs &inputs, core::TimePoint now)
{
    if (!isEnabled() || options.empty())
        return 1;
    const decisions::routing::DomainOptions grouped(options);
    const decisions::routing::OverflowRequest request {
        .service = inputs.service,
        .target = inputs.target,
        .waited = inputs.waited,
        .age = inputs.loadAge,
        .domainDaemons = std::max(1.0, inputs.daemonCount / domainCount(m_settings)),
        .homeSlots = homeSlots(inputs.service, now)};
    m_lastDecision = m_overflow.decide(grouped.domains(), request, inputs.draw, now);
    if (m_overflow.isSendingAway(inputs.service) != m_services[inputs.service].isSendingAway)
        logChange(inputs.service, grouped.domains(), m_lastDecision, inputs, now);
    return grouped.applyDecision(options, m_lastDecision);
}

void OverflowRouter::logChange(const core::ServiceId &id,
                               const std::vector<decisions::routing::DomainState> &domains,
                               const decisions::routing::OverflowDecision &decision,
                               const OverflowInputs &inputs, core::TimePoint now)
{
    Service &service = m_services[id];
    service.isSendingAway = !service.isSendingAway;
    std::string message
        = absl::StrCat("service ", id.value(), ", first event expected after ",
                       core::toMilliseconds(decision.homeFirstEvent), " ms in ",
                       m_settings.domain.value(), ", target ", core::toMilliseconds(inputs.target),
                       " ms, loads ", describe(inputs.loadAge), ": ", describe(domains));
    if (service.isSendingAway) {
        service.since = now;
        service.requestsAway = service.bytesAway = 0;
    } else {
        absl::StrAppend(&message, "; sent away since ", core::toMilliseconds(now - service.since),
                        " ms: ", service.requestsAway, " requests, ", service.bytesAway, " bytes");
    }
    observability::log(
        {.step = service.isSendingAway ? "overflow begins" : "overflow ends", .message = message});
}

OverflowSend OverflowRouter::recordSend(const core::ServiceId &service,
                                        const core::EndpointId &endpoint, bool isFirst,
                                        double utilization, core::TimePoint now)
{
    const fleet::Endpoint *found = m_watch.endpoint(endpoint);
    if (!isEnabled() || found == nullptr)
        return {};
    if (isFirst)
        m_overflow.recordSend(service, now);
    OverflowSend send {service, found->domain, found->domain != m_settings.domain,
                       m_lastDecision.reason, utilization};
    if (send.isAway) {
        ++m_services[service].requestsAway;
        m_metrics.recordOverflowRequest(send.domain.value(), nameOf(send.reason));
    }
    return send;
}

void OverflowRouter::recordFirstEvent(const OverflowSend &send, core::Duration delay,
                                      core::TimePoint now)
{
    if (!send.domain.isEmpty())
        m_overflow.recordFirstEvent(send.service, send.domain, delay, send.utilization, now);
}

void OverflowRouter::recordStreamEnd(const OverflowSend &send, core::Duration duration)
{
    if (!send.domain.isEmpty())
        m_overflow.recordEnd(send.service, send.domain, duration);
}

void OverflowRouter::recordAnswer(const OverflowSend &send, core::Duration delay,
                                  core::TimePoint now)
{
    if (!send.domain.isEmpty())
        m_overflow.recordAnswer(send.service, send.domain, delay, send.utilization, now);
}

void OverflowRouter::recordFailure(const OverflowSend &send, core::TimePoint now)
{
    if (send.isAway)
        m_overflow.recordFailure(send.service, send.domain, now);
}

void OverflowRouter::recordRelease(const OverflowSend &send)
{
    if (!send.isAway)
        return;
    const auto bytes = static_cast<double>(send.bytes);
    m_services[send.service].bytesAway += bytes;
    m_metrics.recordOverflowBytes(send.domain.value(), nameOf(send.reason), bytes);
}

} // namespace jackdawlead::gateway
