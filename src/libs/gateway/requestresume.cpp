#include "gateway/requesttask.h"

#include "gateway/sendlimits.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jackdawlead::gateway {

namespace {

bool isTarget(const fleet::Route &route, const core::ServiceId &service)
{
    return std::ranges::find(route.targets, service, &fleet::RouteTarget::service)
        != route.targets.end();
}

const char *nameOf(StreamVersions::Source source)
{
    switch (source) {
    case StreamVersions::Source::OnlyVersion:
        return "the list of endpoints";
    case StreamVersions::Source::OwnRecord:
        return "an own record";
    case StreamVersions::Source::StoreRecord:
        break;
    }
    return "a record in the store";
}

} // namespace

bool RequestTask::isTakeUp() const
{
    return m_route->isStream && m_fields.lastEventId;
}

void RequestTask::findOrigin()
{
    const auto lookup = m_context.streams.find(m_fields.begunBy, m_service, m_exchange->receivedAt);
    if (lookup.found && !isTarget(*m_route, lookup.found->origin.service)) {
        refuse("the route no longer leads to the service at which the stream began",
               versionRetryAfter);
        return;
    }
    if (lookup.found) {
        applyOrigin(lookup.found->origin);
        // Nothing says on which version of the adapter the stream began, but it was none above the
        // highest one that an endpoint held.
        m_finder.requireVersion(m_context.placement.highestVersion(adapterKey()));
        // The client waits as long for the rest as one whose stream this daemon goes on with.
        m_interruptedAt = m_exchange->receivedAt;
        m_context.metrics.recordTakeUp(m_finder.isVersionServing() ? "resumed" : "no endpoint");
        observability::log({.level = observability::LogLevel::Info,
                            .step = "resume",
                            .message = absl::StrCat("after event ", *m_fields.lastEventId, " of ",
                                                    m_fields.begunBy.value(), ", software version ",
                                                    m_origin->version.value(), " as of ",
                                                    nameOf(lookup.found->source)),
                            .request = m_fields.id.value()});
        chooseEndpoint();
        return;
    }
    m_isWaiting = lookup.failure == StreamVersions::Failure::None;
    if (m_isWaiting)
        return;
    m_context.metrics.recordTakeUp("unknown");
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = "resume",
         .message = absl::StrCat("after event ", *m_fields.lastEventId, " of ",
                                 m_fields.begunBy.value(), ", which no daemon recorded"),
         .request = m_fields.id.value()});
    refuse("the software version at which the stream began is not known", busyRetryAfter);
}

void RequestTask::applyOrigin(const StreamOrigin &origin)
{
    m_origin = origin;
    m_service = origin.service;
    m_finder.setService(origin.service);
    m_finder.setSoftwareVersion(origin.version);
}

} // namespace jackdawlead::gateway
