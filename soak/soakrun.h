#pragma once

#include "callers.h"
#include "checker.h"
#include "daemons.h"
#include "endpoints.h"
#include "schedule.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawlead::soak {

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::chrono::seconds time {60}; ///< Until the last planned stop.
    int daemons = 3;
    int callers = 24;
};

/// One soak: daemons as processes, stand-ins for the store and the endpoints, callers, and faults
/// in series that overlap, with calm between them. Thread safety: the loop's thread only.
class SoakRun
{
public:
    /// Logs and settings are kept in `folder`.
    SoakRun(const SoakOptions &options, const std::string &folder);

    /// Plays the soak and prints progress and the report. Returns whether checks of every kind were
    /// made and none found a violation.
    bool run();

private:
    /// Each of them returns whether it could be played.
    struct FaultKind
    {
        std::string name; ///< Empty if it is counted where it is played.
        std::function<bool()> play;
    };

    void playSeries();
    void playNext();
    bool disturbStore(testsupport::FakeStore::Mode mode);
    bool suspendWatches();
    void changeConfiguration();
    void writeConfiguration(const std::vector<std::string> &added,
                            const std::vector<std::string> &removed);
    void watchOwnTime();
    void tellProgress();
    bool report() const;
    std::size_t pickDaemon();
    std::vector<FaultKind> faultKinds();

    SoakOptions m_options;
    net::EventLoop m_loop;
    net::TimerService m_timers {m_loop};
    Schedule m_schedule {m_timers};
    Bounds m_bounds;
    Checker m_checker {m_bounds};
    FaultCounts m_faults;
    testsupport::PortPicker m_picker;
    std::uint16_t m_storePort = m_picker.take();
    testsupport::FakeStore m_store {m_loop, m_timers, m_storePort};
    Endpoints m_endpoints;
    Daemons m_daemons;
    Callers m_callers;
    Draw m_faultDraw;
    Draw m_configurationDraw;
    std::vector<FaultKind> m_kinds;
    std::vector<std::size_t> m_nextKinds; ///< Drawn without repetition, so that each one is played.
    ConfigurationVersion m_version {1};
    std::vector<KnownRoute> m_lasting;
    std::vector<KnownRoute> m_added;
    std::vector<KnownRoute> m_removed;
    int m_routeNumber = 0;
    bool m_isStoreCalm = true;
    bool m_areWatchesMute = false;
    core::TimePoint m_startedAt;
};

} // namespace jackdawlead::soak
