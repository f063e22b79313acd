#include "soakrun.h"

#include "expectedbytes.h"

#include "support/loopwait.h"
#include "support/platformconfig.h"

#include <algorithm>
#include <iostream>
#include <numeric>

namespace jackdawlead::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testsupport::FakeStore;

constexpr core::Duration firstSeriesDelay = seconds(2);
/// Faults are injected in the first phase of a series. The rest is longer than the stable window,
/// so that the time bounds of undisturbed daemons are checked as well.
constexpr core::Duration silenceSeriesPeriod = seconds(18);
/// The bound of a leaving endpoint counts from the stable window after the last fault of the store,
/// and ends before the endpoint is removed.
constexpr core::Duration undisturbedLeavingDelay = milliseconds(7500);
/// Of a series with a slow stop, whose grace time ends before the next series.
constexpr core::Duration slowStopSeriesPeriod = seconds(18);
constexpr milliseconds faultPhase {4000};
/// From the start of a series. More than 3 s after the SIGTERM, a daemon that was disturbed in the
/// first phase has been undisturbed for the stable window.
constexpr core::Duration slowStopDelay = milliseconds(7500);
/// How long callers still send in the final planned stop: up to the end of the grace time.
constexpr milliseconds finalSending {7000};
constexpr int minFaults = 4; ///< In a series.
constexpr int maxFaults = 7;
constexpr core::Duration finalCalm = seconds(8); ///< No series starts in it.
/// The last series has a stop of up to the grace time in it.
constexpr core::Duration maxCalmWait = seconds(40);
constexpr std::size_t maxAddedRoutes = 3;
constexpr std::size_t maxRemovedRoutes = 2; ///< That callers still send requests to.
constexpr core::Duration heartbeatPeriod = milliseconds(50);
constexpr milliseconds minCopyPeriod {2000};
constexpr milliseconds maxCopyPeriod {9000};
constexpr core::Duration rewriteDelay = milliseconds(200);
/// Routes with a longer timeout are those of long streams.
constexpr core::Duration minLongStreamTimeout = seconds(4);
constexpr std::size_t maxShownViolations = 10;
constexpr char versionKind[] = "versions";
constexpr int announcedAdapters = 6; ///< Of all adapters; few, so that each is announced often.

TargetRoute permanentRoute(const std::string &prefix, RequestKind kind, milliseconds timeout)
{
    return {prefix, kind, timeout};
}

nlohmann::json toJson(const TargetRoute &route)
{
    const bool isForStreams = isStream(route.kind);
    const std::string unrepeatableKind = isForStreams ? "stream" : "non_idempotent";
    nlohmann::json spec = testsupport::route(
        route.prefix, isForStreams ? "model" : "plain",
        route.kind == RequestKind::Repeatable ? "idempotent" : unrepeatableKind,
        route.kind == RequestKind::ResumableStream,
        static_cast<int>(std::chrono::duration_cast<milliseconds>(route.timeout).count()));
    if (isForStreams && route.timeout > minLongStreamTimeout)
        spec["max_attempts"] = 3;
    return spec;
}

} // namespace

SoakRun::SoakRun(const SoakOptions &options, const std::string &folder)
    : m_options(options)
    , m_endpoints(m_loop, m_timers, m_schedule, m_checker, m_store, options.seed * 10, m_faults)
    , m_links(m_loop, m_timers, m_schedule, m_checker, m_endpoints.ports(), m_storePort,
              options.daemons, options.seed * 10 + 9, m_faults)
    , m_daemons(m_schedule, m_checker, m_bounds, options.daemons, m_links.storePorts(),
                Daemons::Files {options.program, options.earlierProgram, folder})
    , m_callers(m_loop, m_schedule, m_checker, m_daemons, options.seed, options.callers,
                "s" + std::to_string(options.seed) + "-")
    , m_longStreamCallers(m_loop, m_schedule, m_checker, m_daemons, options.seed * 10 + 8,
                          options.callers, longStreamPrefix + std::to_string(options.seed) + "-")
    , m_faultRandom(options.seed * 10 + 5)
    , m_configurationRandom(options.seed * 10 + 6)
    , m_versionRandom(options.seed * 10 + 7)
    , m_kinds(faultKinds())
    , m_permanentRoutes {permanentRoute("/get/", RequestKind::Repeatable, milliseconds(4000)),
                         permanentRoute("/order/", RequestKind::Unrepeatable, milliseconds(4000)),
                         permanentRoute("/short/", RequestKind::Repeatable, milliseconds(700)),
                         permanentRoute("/stream/", RequestKind::ResumableStream,
                                        milliseconds(4000)),
                         permanentRoute("/once/", RequestKind::SingleStream, milliseconds(4000))}
    , m_longStreamRoutes {permanentRoute("/long/", RequestKind::ResumableStream,
                                         milliseconds(12000)),
                          permanentRoute("/longer/", RequestKind::ResumableStream,
                                         milliseconds(12000)),
                          permanentRoute("/longonce/", RequestKind::SingleStream,
                                         milliseconds(12000))}
    , m_startedAt(m_loop.now())
{
    std::vector<std::string> added;
    for (const auto &group : {m_permanentRoutes, m_longStreamRoutes}) {
        for (const TargetRoute &route : group)
            added.push_back(route.prefix);
    }
    m_longStreamCallers.setRoutes(m_longStreamRoutes, {});
    writeConfiguration(added, {});
    m_schedule.after(firstSeriesDelay, [this] { startSeries(); });
    m_schedule.after(firstSeriesDelay, [this] { changeConfiguration(); });
    m_schedule.after(firstSeriesDelay, [this] { announceVersion(); });
    m_schedule.after(seconds(5), [this] { printProgress(); });
    takeCopies();
    recordHeartbeat();
    if (!options.earlierProgram.empty())
        m_schedule.after(options.time / 6, [this] { startUpgrade(false); });
}

bool SoakRun::run()
{
    testsupport::runFor(m_loop, m_timers, m_options.time);
    if (m_links.exist() && !m_options.isCalm && !m_checker.hasCountedInterruption()) {
        bool isDone = false;
        interruptUndisturbed([&isDone] { isDone = true; });
        testsupport::waitUntil(
            m_loop, m_timers, [&isDone] { return isDone; }, maxCalmWait);
        m_areSeriesSuspended = true;
    }
    // The final planned stop happens while callers still send requests.
    ++m_faults["daemon: all stopped by SIGTERM"];
    m_daemons.terminateAll();
    testsupport::runFor(m_loop, m_timers, finalSending);
    m_callers.stopSending();
    m_longStreamCallers.stopSending();
    const bool haveAllEnded = testsupport::waitUntil(
        m_loop, m_timers,
        [this] {
            return m_daemons.haveAllEnded() && m_callers.areIdle() && m_longStreamCallers.areIdle();
        },
        m_bounds.grace + seconds(4));
    if (!haveAllEnded)
        std::cout << "daemons or callers did not end\n";
    m_checker.checkInterruptions();
    return report() && haveAllEnded;
}

std::size_t SoakRun::pickDaemon()
{
    return static_cast<std::size_t>(m_faultRandom.number(0, m_options.daemons - 1));
}

std::vector<SoakRun::FaultKind> SoakRun::faultKinds()
{
    const auto restartDelay
        = [this] { return m_faultRandom.duration(milliseconds(0), milliseconds(1000)); };
    return {
        {"daemon: SIGTERM",
         [=, this] { return m_daemons.terminate(pickDaemon(), restartDelay()); }},
        {"daemon: SIGKILL", [=, this] { return m_daemons.kill(pickDaemon(), restartDelay()); }},
        {"daemon: SIGSTOP",
         [this] {
             return m_daemons.freeze(pickDaemon(),
                                     m_faultRandom.duration(milliseconds(200), milliseconds(2500)));
         }},
        {"daemon: SIGHUP", [this] { return m_daemons.sendSighup(pickDaemon()); }},
        {"store: refuses", [this] { return disturbStore(FakeStore::Mode::Refusing); }},
        {"store: silent", [this] { return disturbStore(FakeStore::Mode::Silent); }},
        {"store: watches hear nothing", [this] { return suspendWatches(); }},
        {"store: answers to watches late", [this] { return delayWatchAnswers(); }},
        {"store: history forgotten",
         [this] {
             m_store.compactHistory();
             return true;
         }},
        {"store: back from a copy", [this] { return restoreStore(); }},
        {"", [this] { return m_endpoints.startLeaving(); }},
        {"", [this] { return m_endpoints.crash(); }},
        {"", [this] { return m_endpoints.limitRequests(); }},
        {"", [this] { return m_endpoints.silence(m_faultRandom.chance(0.5) ? "model" : "plain"); }},
    };
}

void SoakRun::startSeries()
{
    if (m_options.isCalm || m_loop.now() - m_startedAt > m_options.time - finalCalm)
        return;
    if (m_areSeriesSuspended) {
        m_schedule.after(seconds(1), [this] { startSeries(); });
        return;
    }
    m_links.startSeries(m_daemons, m_options.time - (m_loop.now() - m_startedAt));
    const int count = m_faultRandom.number(minFaults, maxFaults);
    for (int number = 0; number < count; ++number)
        m_schedule.after(m_faultRandom.duration(milliseconds(0), faultPhase),
                         [this] { injectNext(); });
    const core::Duration period
        = ++m_seriesCount % 2 == 0 ? scheduleSlowStop() : scheduleSilences();
    m_schedule.after(period, [this] { startSeries(); });
}

void SoakRun::scheduleLeavingAndLimits(core::Duration delay, const std::string &service)
{
    m_schedule.after(delay, [this, service] { m_endpoints.startLeaving(service); });
    m_schedule.after(delay, [this, service] { m_endpoints.limitRequests(service); });
}

core::Duration SoakRun::scheduleSilences()
{
    scheduleLeavingAndLimits(undisturbedLeavingDelay, "plain");
    m_endpoints.setPace(StreamPace::Usual);
    for (const auto &[delay, service] : {std::pair {milliseconds(7000), "model"},
                                         {milliseconds(9000), "plain"},
                                         {milliseconds(11000), "model"},
                                         {milliseconds(14500), "model"}})
        m_schedule.after(delay, [this, name = service] { m_endpoints.silence(name); });
    return silenceSeriesPeriod;
}

core::Duration SoakRun::scheduleSlowStop()
{
    scheduleLeavingAndLimits(faultPhase, {});
    m_endpoints.setPace(StreamPace::Quick);
    m_schedule.after(slowStopDelay, [this] {
        if (!terminateAny())
            return;
        ++m_faults["daemon: SIGTERM, streams become slow"];
        m_endpoints.setPace(StreamPace::Slowed);
        m_schedule.after(m_bounds.grace, [this] { m_endpoints.setPace(StreamPace::Usual); });
    });
    return slowStopSeriesPeriod;
}

bool SoakRun::terminateAny()
{
    const std::size_t first = pickDaemon();
    for (std::size_t number = 0; number < m_daemons.count(); ++number) {
        if (m_daemons.terminate((first + number) % m_daemons.count(), seconds(1)))
            return true;
    }
    return false;
}

void SoakRun::injectNext()
{
    if (m_remainingKinds.empty()) {
        m_remainingKinds.resize(m_kinds.size());
        std::iota(m_remainingKinds.begin(), m_remainingKinds.end(), 0);
        std::shuffle(m_remainingKinds.begin(), m_remainingKinds.end(), m_faultRandom.generator());
    }
    const FaultKind &kind = m_kinds[m_remainingKinds.back()];
    m_remainingKinds.pop_back();
    if (!kind.inject())
        ++m_faults["not possible at that moment"];
    else if (!kind.name.empty())
        ++m_faults[kind.name];
}

bool SoakRun::disturbStore(FakeStore::Mode mode)
{
    if (!m_isStoreServing)
        return false;
    m_isStoreServing = false;
    m_store.setMode(mode);
    m_checker.storeDisturbed(true, m_loop.now());
    m_schedule.after(m_faultRandom.duration(milliseconds(300), milliseconds(2500)), [this] {
        m_isStoreServing = true;
        m_store.setMode(FakeStore::Mode::Serving);
        m_checker.storeDisturbed(false, m_loop.now());
    });
    return true;
}

void SoakRun::takeCopies()
{
    if (m_isStoreServing)
        m_store.takeCopy();
    m_schedule.after(m_faultRandom.duration(minCopyPeriod, maxCopyPeriod),
                     [this] { takeCopies(); });
}

bool SoakRun::restoreStore()
{
    if (!disturbStore(FakeStore::Mode::Refusing))
        return false;
    m_store.restoreCopy();
    writeLostObjects();
    return true;
}

// The operator and the endpoints notice the loss only when they reach the store again.
void SoakRun::writeLostObjects()
{
    if (!m_isStoreServing) {
        m_schedule.after(rewriteDelay, [this] { writeLostObjects(); });
        return;
    }
    if (m_store.spec("config", "main") != m_configuration)
        m_store.put("config", "main", m_configuration);
    for (const auto &[name, record] : m_versions) {
        if (m_store.spec(versionKind, name) != record)
            m_store.put(versionKind, name, record);
    }
    m_endpoints.writeLostRecords();
}

bool SoakRun::suspendWatches()
{
    if (m_areWatchesSuspended)
        return false;
    m_areWatchesSuspended = true;
    m_store.suspendWatches();
    m_schedule.after(m_faultRandom.duration(milliseconds(500), milliseconds(4000)), [this] {
        m_areWatchesSuspended = false;
        m_store.resumeWatches();
    });
    return true;
}

bool SoakRun::delayWatchAnswers()
{
    if (std::exchange(m_areAnswersLate, true))
        return false;
    constexpr int period = 2;
    m_store.delayWatchAnswers(
        versionKind, m_faultRandom.duration(milliseconds(500), milliseconds(2200)), period);
    m_schedule.after(m_faultRandom.duration(milliseconds(6000), milliseconds(12000)), [this] {
        m_areAnswersLate = false;
        m_store.delayWatchAnswers(versionKind, {}, 0);
    });
    return true;
}

// Some adapters are announced again before an earlier version is required.
void SoakRun::announceVersion()
{
    m_schedule.after(m_versionRandom.duration(milliseconds(300), milliseconds(2500)),
                     [this] { announceVersion(); });
    if (!m_isStoreServing)
        return;
    ++m_faults["adapter: new version"];
    const std::string adapter = "a" + std::to_string(m_versionRandom.number(1, announcedAdapters));
    const std::string name = "base." + adapter;
    const int version
        = m_versions.contains(name) ? m_versions[name].at("version").get<int>() + 1 : 2;
    m_versions[name] = {{"model", "base"}, {"adapter", adapter}, {"version", version}};
    m_endpoints.setNewestVersion(core::AdapterId(adapter), version);
    m_store.put(versionKind, name, m_versions[name]);
    m_checker.versionAnnounced(core::AdapterId(adapter), version, m_loop.now());
}

void SoakRun::changeConfiguration()
{
    m_schedule.after(m_configurationRandom.duration(milliseconds(800), milliseconds(3000)),
                     [this] { changeConfiguration(); });
    // An operator could not write to the store now either.
    if (!m_isStoreServing)
        return;
    ++m_faults["configuration: changed"];
    std::vector<std::string> removed;
    if (m_addedRoutes.size() >= maxAddedRoutes) {
        removed.push_back(m_addedRoutes.front().prefix);
        m_removedRoutes.push_back(m_addedRoutes.front());
        m_addedRoutes.erase(m_addedRoutes.begin());
    }
    if (m_removedRoutes.size() > maxRemovedRoutes)
        m_removedRoutes.erase(m_removedRoutes.begin());
    const auto kind = static_cast<RequestKind>(m_configurationRandom.number(0, 3));
    const std::string prefix = "/added" + std::to_string(++m_routeNumber) + "/";
    m_addedRoutes.push_back({prefix, kind, milliseconds(4000)});
    m_version = ConfigurationVersion(
        m_version.value() + static_cast<std::uint64_t>(m_configurationRandom.number(1, 3)));
    writeConfiguration({prefix}, removed);
}

void SoakRun::writeConfiguration(const std::vector<std::string> &added,
                                 const std::vector<std::string> &removed)
{
    nlohmann::json routes = nlohmann::json::array();
    for (const auto &group : {m_permanentRoutes, m_longStreamRoutes, m_addedRoutes}) {
        for (const TargetRoute &route : group)
            routes.push_back(toJson(route));
    }
    m_configuration = testsupport::configuration(static_cast<int>(m_version.value()), routes);
    m_store.put("config", "main", m_configuration);
    m_checker.configurationWritten(m_version, added, removed, m_loop.now());
    std::vector<TargetRoute> changeable = m_addedRoutes;
    changeable.insert(changeable.end(), m_removedRoutes.begin(), m_removedRoutes.end());
    m_callers.setRoutes(m_permanentRoutes, std::move(changeable));
}

void SoakRun::recordHeartbeat()
{
    m_checker.recordHeartbeat(m_loop.now());
    m_schedule.after(heartbeatPeriod, [this] { recordHeartbeat(); });
}

void SoakRun::printProgress()
{
    const int faults
        = std::accumulate(m_faults.begin(), m_faults.end(), 0,
                          [](int sum, const auto &entry) { return sum + entry.second; });
    std::cout << "seed " << m_options.seed << ", "
              << std::chrono::duration_cast<seconds>(m_loop.now() - m_startedAt).count()
              << " s: " << m_callers.sent() + m_longStreamCallers.sent() << " requests, " << faults
              << " faults, " << m_checker.violations().size() << " violations" << std::endl;
    m_schedule.after(seconds(5), [this] { printProgress(); });
}

bool SoakRun::report() const
{
    std::cout << "faults played:\n";
    for (const auto &[name, count] : m_faults)
        std::cout << "  " << count << "  " << name << "\n";
    for (const auto &[name, callers] :
         {std::pair {"requests", &m_callers},
          std::pair {"requests for long streams", &m_longStreamCallers}}) {
        std::cout << name << ": " << callers->sent() << ", ended with";
        for (const auto &[status, count] : callers->outcomes())
            std::cout << " " << status << ": " << count << ";";
        std::cout << " (0: no answer, -1: the caller left)\n";
    }
    std::cout << "answers that began and did not end whole:\n";
    for (const auto &[cause, count] : m_checker.unfinishedAnswers())
        std::cout << "  " << count << "  " << cause << "\n";
    std::cout << "checks made:\n";
    bool isPassed = m_checker.violations().empty();
    // In an upgrade a daemon of each release has to be left beside those without links.
    const bool areLinksInterrupted
        = m_links.exist() && (m_options.earlierProgram.empty() || m_daemons.count() > 2);
    for (const auto &[check, count] : m_checker.counts()) {
        std::cout << "  " << count << "  " << nameOf(check) << (count == 0 ? ": NONE" : "") << "\n";
        // A single daemon has no other one to serve through.
        const bool isPossible
            = !m_options.isCalm && (check != Check::ServedWithoutLinks || areLinksInterrupted);
        isPassed = isPassed && (count > 0 || !isPossible);
    }
    std::cout << "the soak itself was held up " << m_checker.stalls() << " times\n";
    std::size_t shown = 0;
    for (const Violation &violation : m_checker.violations()) {
        if (shown++ == maxShownViolations)
            break;
        const std::string id = violation.description.substr(0, violation.description.find(' '));
        std::cout << "violation of " << nameOf(violation.check) << ": " << violation.description
                  << "\n"
                  << m_daemons.logExcerpt(violation.incarnation, id);
    }
    std::cout << "seed " << m_options.seed << ": " << m_checker.violations().size()
              << " violations, " << (isPassed ? "passed" : "FAILED") << std::endl;
    return isPassed;
}

} // namespace jackdawlead::soak
