// Interruptions of links while nothing else is disturbed, and upgrades, which are checked by them.

#include "soakrun.h"

namespace jackdawlead::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Twice the time after which a daemon without links must serve.
constexpr core::Duration undisturbedInterruption = seconds(8);
/// Until daemons use their own links again.
constexpr core::Duration restoreTime = seconds(1);
constexpr core::Duration calmCheckPeriod = milliseconds(50);
constexpr core::Duration restartDelay = milliseconds(200);

} // namespace

void SoakRun::startUpgrade(bool isWayBack)
{
    ++m_faults[isWayBack ? "upgrade: way back" : "upgrade"];
    m_daemons.useEarlierProgram(isWayBack);
    replaceDaemons(0, isWayBack);
}

// A daemon that is down, or stops already, starts as the other program by itself.
void SoakRun::replaceDaemons(std::size_t step, bool isWayBack)
{
    if (step >= m_daemons.count()) {
        if (!isWayBack)
            m_schedule.after(m_options.time / 6, [this] { startUpgrade(true); });
        return;
    }
    m_daemons.terminate(isWayBack ? m_daemons.count() - 1 - step : step, restartDelay);
    const core::Duration pause = m_options.time / 6 / static_cast<int>(m_daemons.count());
    const auto goOn = [this, step, isWayBack] { replaceDaemons(step + 1, isWayBack); };
    // One daemon without links is of the present release then.
    const std::size_t present = isWayBack ? m_daemons.count() - 1 - step : step + 1;
    if (present == m_links.linkedDaemons() + 1 && m_links.exist())
        m_schedule.after(pause, [this, goOn] { interruptUndisturbed(goOn); });
    else
        m_schedule.after(pause, goOn);
}

bool SoakRun::areDaemonsUndisturbed() const
{
    for (std::size_t index = 0; index < m_daemons.count(); ++index) {
        const auto incarnation = m_daemons.incarnation(index);
        if (!incarnation || !m_checker.isUndisturbed(*incarnation, m_loop.now()))
            return false;
    }
    return true;
}

void SoakRun::interruptUndisturbed(std::function<void()> done)
{
    m_areSeriesSuspended = true;
    m_links.setPlanSuspended(true);
    if (!areDaemonsUndisturbed() || m_links.areInterrupted()) {
        m_schedule.after(calmCheckPeriod, [this, done = std::move(done)]() mutable {
            interruptUndisturbed(std::move(done));
        });
        return;
    }
    if (m_links.interrupt(m_daemons, undisturbedInterruption))
        ++m_faults["links: interrupted while nothing else happens"];
    m_schedule.after(undisturbedInterruption + restoreTime, [this, done = std::move(done)] {
        m_areSeriesSuspended = false;
        m_links.setPlanSuspended(false);
        done();
    });
}

} // namespace jackdawlead::soak
