#pragma once

#include "callers.h"
#include "checker.h"
#include "daemons.h"
#include "endpoints.h"
#include "links.h"
#include "schedule.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jackdawlead::soak {

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::chrono::seconds time {60}; ///< Until the final planned stop.
    int daemons = 3;
    int callers = 24; ///< As many more send only requests for long streams.
    /// Without faults of daemons and of the store, and endpoints neither leave nor crash. Rules for
    /// which nothing is left to check may stay unchecked.
    bool isCalm = false;
    std::string program = JACKDAWLEADD; ///< Of the daemons, for example that of a former release.
    /// If set, the daemons begin with this program of an earlier release, are replaced one after
    /// the other, and go back to it in the same way.
    std::string earlierProgram;
};

/// One soak: daemons as processes, a fake store, fake endpoints, callers, and series of overlapping
/// faults with calm phases in between. Thread safety: the loop's thread only.
class SoakRun
{
public:
    /// Logs and settings are written to `folder`.
    SoakRun(const SoakOptions &options, const std::string &folder);

    /// Runs the soak and prints progress and the report. Returns whether every kind of check was
    /// made and none found a violation.
    bool run();

private:
    /// A fault to inject. `inject` returns whether that was possible.
    struct FaultKind
    {
        std::string name; ///< Empty if the function that injects it counts it.
        std::function<bool()> inject;
    };

    /// Replaces the daemons of the earlier release, and goes back some time later.
    void startUpgrade(bool isWayBack);
    /// Stops the daemons one after the other, from this step on; each one starts again. Daemons
    /// with links come first in an upgrade and last on the way back, so that their peers are of
    /// both releases for some time; links are interrupted then.
    void replaceDaemons(std::size_t step, bool isWayBack);
    /// Interrupts links as soon as nothing else has been disturbed for a while, for long enough to
    /// check what is served, and calls `done` after that.
    void interruptUndisturbed(std::function<void()> done);
    bool areDaemonsUndisturbed() const;
    void startSeries();
    /// One endpoint leaves, and those of a service announce limits, while everything else is
    /// undisturbed. Without a service, any one is chosen.
    void scheduleLeavingAndLimits(core::Duration delay, const std::string &service);
    /// What follows the first phase of a series: endpoints are silent, or streams become slow in a
    /// planned stop. Return how long the series lasts. Around silences the model service is not
    /// limited, so that its streams can go on at other endpoints.
    core::Duration scheduleSilences();
    core::Duration scheduleSlowStop();
    bool terminateAny();
    void injectNext();
    bool disturbStore(testsupport::FakeStore::Mode mode);
    bool suspendWatches();
    /// The store is away for a moment and comes back from its last copy; what operator and
    /// endpoints wrote since is written again.
    bool restoreStore();
    void takeCopies();
    void writeLostObjects();
    /// The answers to half of the watches of versions arrive late for some time.
    bool delayWatchAnswers();
    void announceVersion();
    void changeConfiguration();
    void writeConfiguration(const std::vector<std::string> &added,
                            const std::vector<std::string> &removed);
    void recordHeartbeat();
    void printProgress();
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
    Links m_links;
    Daemons m_daemons;
    Callers m_callers;
    Callers m_longStreamCallers;
    RandomSource m_faultRandom;
    RandomSource m_configurationRandom;
    RandomSource m_versionRandom;
    std::vector<FaultKind> m_kinds;
    /// Drawn without repetition, so that each kind is used.
    std::vector<std::size_t> m_remainingKinds;
    ConfigurationVersion m_version {1};
    std::vector<TargetRoute> m_permanentRoutes;
    std::vector<TargetRoute> m_longStreamRoutes;
    std::vector<TargetRoute> m_addedRoutes;
    std::vector<TargetRoute> m_removedRoutes;
    int m_routeNumber = 0;
    int m_seriesCount = 0;
    nlohmann::json m_configuration;                   ///< As last written.
    std::map<std::string, nlohmann::json> m_versions; ///< Announced, by the name of the record.
    bool m_areAnswersLate = false;
    bool m_isStoreServing = true;
    bool m_areWatchesSuspended = false;
    bool m_areSeriesSuspended = false;
    core::TimePoint m_startedAt;
};

} // namespace jackdawlead::soak
