#include "serving/leasetask.h"

#include "observability/log.h"
#include "serving/randomid.h"

namespace jackdawlead::serving {

LeaseTask::LeaseTask(Context &context)
    : m_context(context)
    , m_holder({.duration = context.settings.leaseDuration, .guard = context.settings.leaseGuard})
    , m_incarnation(randomId())
{ }

void LeaseTask::start(std::function<void()> regained)
{
    m_regained = std::move(regained);
    renew();
}

bool LeaseTask::isValid() const
{
    return m_holder.isValid(m_context.timers.now());
}

void LeaseTask::renewLater()
{
    m_timer = m_context.timers.once(m_context.settings.leaseRenewPeriod, [this] { renew(); });
}

void LeaseTask::renew()
{
    if (m_isReleased)
        return;
    const core::TimePoint sentAt = m_context.timers.now();
    const nlohmann::json spec {{"incarnation", m_incarnation}, {"renewals", ++m_renewals}};
    const auto handler = [this, sentAt](const absl::StatusOr<platform::Object> &result) {
        renewLater();
        if (m_answered)
            m_answered(result.status(), sentAt);
        if (result.ok()) {
            stored(*result, sentAt);
            return;
        }
        const absl::StatusCode code = result.status().code();
        if (code == absl::StatusCode::kAlreadyExists || code == absl::StatusCode::kAborted)
            adopt();
        else if (code == absl::StatusCode::kNotFound)
            m_resourceVersion.clear();
        else
            observability::logError(observability::LogLevel::Warn, result.status());
    };
    const std::string &name = m_context.settings.host.value();
    if (m_resourceVersion.empty())
        m_context.objects.create(platform::kinds::hostLeases, name, spec, handler);
    else
        m_context.objects.update(platform::kinds::hostLeases, {name, m_resourceVersion, spec},
                                 handler);
}

// The record may be that of an earlier process on this host, or of an own write whose answer was
// lost. Both are followed by a conditional update from the version read here.
void LeaseTask::adopt()
{
    m_context.objects.read(
        platform::kinds::hostLeases, m_context.settings.host.value(), [this](const auto &result) {
            if (!result.ok())
                return;
            m_resourceVersion = result->resourceVersion;
            m_timer = m_context.timers.once(core::Duration::zero(), [this] { renew(); });
        });
}

void LeaseTask::stored(const platform::Object &object, core::TimePoint sentAt)
{
    m_resourceVersion = object.resourceVersion;
    const bool wasValid = isValid();
    m_holder.renewed(sentAt);
    if (!wasValid && isValid())
        m_regained();
}

void LeaseTask::release(std::function<void()> done)
{
    m_isReleased = true;
    m_timer.cancel();
    m_holder.released();
    m_context.objects.remove(platform::kinds::hostLeases,
                             {m_context.settings.host.value(), m_resourceVersion, {}},
                             [done = std::move(done)](const auto &) { done(); });
}

} // namespace jackdawlead::serving
