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
    if (m_released)
        return;
    m_isRenewing = true;
    const core::TimePoint sentAt = m_context.timers.now();
    const nlohmann::json spec {{"incarnation", m_incarnation}, {"renewals", ++m_renewals}};
    const auto handler = [this, sentAt](const absl::StatusOr<objectapi::Object> &result) {
        m_isRenewing = false;
        if (m_released) {
            if (result.ok())
                m_resourceVersion = result->resourceVersion;
            removeRecord();
            return;
        }
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
        else {
            observability::logError(observability::LogLevel::Warn, result.status());
            readBack(sentAt);
        }
    };
    const std::string &name = m_context.settings.host.value();
    if (m_resourceVersion.empty())
        m_context.objects.create(objectapi::kinds::hostLeases, name, spec, handler);
    else
        m_context.objects.update(objectapi::kinds::hostLeases, {name, m_resourceVersion, spec},
                                 handler);
}

// The record may be that of an earlier process on this host, or of an own write whose answer was
// lost. Both are followed by a conditional update from the version read here.
void LeaseTask::adopt()
{
    m_context.objects.read(
        objectapi::kinds::hostLeases, m_context.settings.host.value(), [this](const auto &result) {
            if (!result.ok() || m_released)
                return;
            m_resourceVersion = result->resourceVersion;
            m_timer = m_context.timers.once(core::Duration::zero(), [this] { renew(); });
        });
}

// The write may have taken effect although its answer was lost. The incarnation and the number of
// the renewal tell whether the record is the one that was sent.
void LeaseTask::readBack(core::TimePoint sentAt)
{
    m_context.objects.read(objectapi::kinds::hostLeases, m_context.settings.host.value(),
                           [this, sentAt, renewal = m_renewals](const auto &result) {
                               if (!result.ok() || m_released || renewal != m_renewals)
                                   return;
                               m_resourceVersion = result->resourceVersion;
                               if (result->spec.value("incarnation", std::string()) == m_incarnation
                                   && result->spec.value("renewals", std::uint64_t {0}) == renewal)
                                   stored(*result, sentAt);
                           });
}

void LeaseTask::stored(const objectapi::Object &object, core::TimePoint sentAt)
{
    m_resourceVersion = object.resourceVersion;
    const bool wasValid = isValid();
    m_holder.recordRenewal(sentAt);
    if (!wasValid && isValid())
        m_regained();
}

void LeaseTask::release(std::function<void()> done)
{
    m_released = std::move(done);
    m_timer.cancel();
    m_holder.release();
    // A renewal under way changes the version of the record that is removed.
    if (!m_isRenewing)
        removeRecord();
}

void LeaseTask::removeRecord()
{
    m_context.objects.remove(objectapi::kinds::hostLeases,
                             {m_context.settings.host.value(), m_resourceVersion, {}},
                             [this](const auto &) { m_released(); });
}

} // namespace jackdawlead::serving
