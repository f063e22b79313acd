#include "serving/fleettask.h"

#include "observability/log.h"

namespace jackdawlead::serving {

FleetTask::FleetTask(Context &context, Subscriber subscriber)
    : m_context(context)
    , m_client(context.controlHttp, {context.settings.hostListIp, context.settings.hostListPort})
    , m_subscriber(std::move(subscriber))
{ }

void FleetTask::start()
{
    poll();
}

void FleetTask::poll()
{
    m_client.read([this](const auto &entries) {
        m_timer = m_context.timers.once(m_context.settings.hostListPeriod, [this] { poll(); });
        if (!entries.ok()) {
            observability::logError(observability::LogLevel::Warn, entries.status());
            return;
        }
        if (!*entries)
            return;
        auto view = std::make_shared<FleetView>();
        for (const objectapi::HostEntry &entry : **entries) {
            if (entry.role == objectapi::HostRole::Daemon)
                view->daemons.emplace(core::HostId(entry.name), entry);
            else
                view->endpoints.emplace(core::EndpointId(entry.name), entry);
        }
        m_subscriber(std::move(view));
    });
}

} // namespace jackdawlead::serving
