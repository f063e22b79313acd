#include "soakrun.h"

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

constexpr core::Duration firstSeries = seconds(2);
/// Faults are played in the first part of it. The rest is longer than the stable window, so that
/// the bounds of daemons in touch are checked as well.
constexpr core::Duration seriesPeriod = seconds(12);
constexpr milliseconds faultyPart {4000};
constexpr int leastFaults = 4; ///< Of a series.
constexpr int mostFaults = 7;
constexpr core::Duration calmAtTheEnd = seconds(8); ///< No series begins in it.
constexpr std::size_t mostAddedRoutes = 3;
constexpr std::size_t mostRemovedRoutes = 2; ///< That callers still ask for.
constexpr core::Duration ownPeriod = milliseconds(50);
constexpr std::size_t shownViolations = 10;

KnownRoute lastingRoute(const std::string &prefix, RequestKind kind, milliseconds timeout)
{
    return {prefix, kind, timeout};
}

nlohmann::json toJson(const KnownRoute &route)
{
    const bool isForStreams = isStream(route.kind);
    const std::string unsafeKind = isForStreams ? "stream" : "non_idempotent";
    return testsupport::route(
        route.prefix, isForStreams ? "model" : "plain",
        route.kind == RequestKind::Repeatable ? "idempotent" : unsafeKind,
        route.kind == RequestKind::ResumableStream,
        static_cast<int>(std::chrono::duration_cast<milliseconds>(route.timeout).count()));
}

} // namespace

SoakRun::SoakRun(const SoakOptions &options, const std::string &folder)
    : m_options(options)
    , m_endpoints(m_loop, m_timers, m_schedule, m_checker, m_store, options.seed * 10, m_faults)
    , m_daemons(m_schedule, m_checker, m_bounds, options.daemons, m_storePort, folder)
    , m_callers(m_loop, m_schedule, m_checker, m_daemons, options.seed, options.callers)
    , m_faultDraw(options.seed * 10 + 5)
    , m_configurationDraw(options.seed * 10 + 6)
    , m_kinds(faultKinds())
    , m_lasting {lastingRoute("/get/", RequestKind::Repeatable, milliseconds(4000)),
                 lastingRoute("/order/", RequestKind::Unrepeatable, milliseconds(4000)),
                 lastingRoute("/short/", RequestKind::Repeatable, milliseconds(700)),
                 lastingRoute("/stream/", RequestKind::ResumableStream, milliseconds(4000)),
                 lastingRoute("/once/", RequestKind::SingleStream, milliseconds(4000))}
    , m_startedAt(m_loop.now())
{
    std::vector<std::string> added;
    for (const KnownRoute &route : m_lasting)
        added.push_back(route.prefix);
    writeConfiguration(added, {});
    m_schedule.after(firstSeries, [this] { playSeries(); });
    m_schedule.after(firstSeries, [this] { changeConfiguration(); });
    m_schedule.after(seconds(5), [this] { tellProgress(); });
    watchOwnTime();
}

bool SoakRun::run()
{
    testsupport::runFor(m_loop, m_timers, m_options.time);
    // The last planned stop, with callers at work.
    ++m_faults["daemon: all stopped by SIGTERM"];
    m_daemons.terminateAll();
    testsupport::runFor(m_loop, m_timers, milliseconds(1500));
    m_callers.finish();
    const bool isEnded = testsupport::waitUntil(
        m_loop, m_timers, [this] { return m_daemons.areAllEnded() && m_callers.areIdle(); },
        m_bounds.grace + seconds(4));
    if (!isEnded)
        std::cout << "daemons or callers did not end\n";
    return report() && isEnded;
}

std::size_t SoakRun::pickDaemon()
{
    return static_cast<std::size_t>(m_faultDraw.number(0, m_options.daemons - 1));
}

std::vector<SoakRun::FaultKind> SoakRun::faultKinds()
{
    const auto pause = [this] { return m_faultDraw.time(milliseconds(0), milliseconds(1000)); };
    return {
        {"daemon: SIGTERM", [=, this] { return m_daemons.terminate(pickDaemon(), pause()); }},
        {"daemon: SIGKILL", [=, this] { return m_daemons.kill(pickDaemon(), pause()); }},
        {"daemon: SIGSTOP",
         [this] {
             return m_daemons.freeze(pickDaemon(),
                                     m_faultDraw.time(milliseconds(200), milliseconds(2500)));
         }},
        {"daemon: SIGHUP", [this] { return m_daemons.hangUp(pickDaemon()); }},
        {"store: refuses", [this] { return disturbStore(FakeStore::Mode::Refusing); }},
        {"store: silent", [this] { return disturbStore(FakeStore::Mode::Silent); }},
        {"store: watches hear nothing", [this] { return suspendWatches(); }},
        {"store: history forgotten",
         [this] {
             m_store.compactHistory();
             return true;
         }},
        {"", [this] { return m_endpoints.leave(); }},
        {"", [this] { return m_endpoints.crash(); }},
    };
}

void SoakRun::playSeries()
{
    if (m_loop.now() - m_startedAt > m_options.time - calmAtTheEnd)
        return;
    const int count = m_faultDraw.number(leastFaults, mostFaults);
    for (int number = 0; number < count; ++number)
        m_schedule.after(m_faultDraw.time(milliseconds(0), faultyPart), [this] { playNext(); });
    // An endpoint that leaves while all else is calm.
    m_schedule.after(faultyPart, [this] { m_endpoints.leave(); });
    m_schedule.after(seriesPeriod, [this] { playSeries(); });
}

void SoakRun::playNext()
{
    if (m_nextKinds.empty()) {
        m_nextKinds.resize(m_kinds.size());
        std::iota(m_nextKinds.begin(), m_nextKinds.end(), 0);
        std::shuffle(m_nextKinds.begin(), m_nextKinds.end(), m_faultDraw.generator());
    }
    const FaultKind &kind = m_kinds[m_nextKinds.back()];
    m_nextKinds.pop_back();
    if (!kind.play())
        ++m_faults["not possible at that moment"];
    else if (!kind.name.empty())
        ++m_faults[kind.name];
}

bool SoakRun::disturbStore(FakeStore::Mode mode)
{
    if (!m_isStoreCalm)
        return false;
    m_isStoreCalm = false;
    m_store.setMode(mode);
    m_checker.storeDisturbed(true, m_loop.now());
    m_schedule.after(m_faultDraw.time(milliseconds(300), milliseconds(2500)), [this] {
        m_isStoreCalm = true;
        m_store.setMode(FakeStore::Mode::Serving);
        m_checker.storeDisturbed(false, m_loop.now());
    });
    return true;
}

bool SoakRun::suspendWatches()
{
    if (m_areWatchesMute)
        return false;
    m_areWatchesMute = true;
    m_store.suspendWatches();
    m_schedule.after(m_faultDraw.time(milliseconds(500), milliseconds(4000)), [this] {
        m_areWatchesMute = false;
        m_store.resumeWatches();
    });
    return true;
}

void SoakRun::changeConfiguration()
{
    m_schedule.after(m_configurationDraw.time(milliseconds(800), milliseconds(3000)),
                     [this] { changeConfiguration(); });
    // The operator's write would fail as well.
    if (!m_isStoreCalm)
        return;
    ++m_faults["configuration: changed"];
    std::vector<std::string> removed;
    if (m_added.size() >= mostAddedRoutes) {
        removed.push_back(m_added.front().prefix);
        m_removed.push_back(m_added.front());
        m_added.erase(m_added.begin());
    }
    if (m_removed.size() > mostRemovedRoutes)
        m_removed.erase(m_removed.begin());
    const auto kind = static_cast<RequestKind>(m_configurationDraw.number(0, 3));
    const std::string prefix = "/added" + std::to_string(++m_routeNumber) + "/";
    m_added.push_back({prefix, kind, milliseconds(4000)});
    m_version = ConfigurationVersion(
        m_version.value() + static_cast<std::uint64_t>(m_configurationDraw.number(1, 3)));
    writeConfiguration({prefix}, removed);
}

void SoakRun::writeConfiguration(const std::vector<std::string> &added,
                                 const std::vector<std::string> &removed)
{
    nlohmann::json routes = nlohmann::json::array();
    for (const auto &group : {m_lasting, m_added}) {
        for (const KnownRoute &route : group)
            routes.push_back(toJson(route));
    }
    m_store.put("config", "main",
                testsupport::configuration(static_cast<int>(m_version.value()), routes));
    m_checker.configured(m_version, added, removed, m_loop.now());
    std::vector<KnownRoute> changing = m_added;
    changing.insert(changing.end(), m_removed.begin(), m_removed.end());
    m_callers.setRoutes(m_lasting, std::move(changing));
}

void SoakRun::watchOwnTime()
{
    m_checker.alive(m_loop.now());
    m_schedule.after(ownPeriod, [this] { watchOwnTime(); });
}

void SoakRun::tellProgress()
{
    const int faults
        = std::accumulate(m_faults.begin(), m_faults.end(), 0,
                          [](int sum, const auto &entry) { return sum + entry.second; });
    std::cout << "seed " << m_options.seed << ", "
              << std::chrono::duration_cast<seconds>(m_loop.now() - m_startedAt).count()
              << " s: " << m_callers.sent() << " requests, " << faults << " faults, "
              << m_checker.violations().size() << " violations" << std::endl;
    m_schedule.after(seconds(5), [this] { tellProgress(); });
}

bool SoakRun::report() const
{
    std::cout << "faults played:\n";
    for (const auto &[name, count] : m_faults)
        std::cout << "  " << count << "  " << name << "\n";
    std::cout << "requests: " << m_callers.sent() << ", ended with";
    for (const auto &[status, count] : m_callers.outcomes())
        std::cout << " " << status << ": " << count << ";";
    std::cout << " (0: no answer, -1: the caller left)\nchecks made:\n";
    bool isPassed = m_checker.violations().empty();
    for (const auto &[check, count] : m_checker.counts()) {
        std::cout << "  " << count << "  " << nameOf(check) << (count == 0 ? ": NONE" : "") << "\n";
        isPassed = isPassed && count > 0;
    }
    std::cout << "the soak itself was held up " << m_checker.gaps() << " times\n";
    std::size_t shown = 0;
    for (const Violation &violation : m_checker.violations()) {
        if (shown++ == shownViolations)
            break;
        const std::string id = violation.what.substr(0, violation.what.find(' '));
        std::cout << "violation of " << nameOf(violation.check) << ": " << violation.what << "\n"
                  << m_daemons.logOf(violation.life, id);
    }
    std::cout << "seed " << m_options.seed << ": " << m_checker.violations().size()
              << " violations, " << (isPassed ? "passed" : "FAILED") << std::endl;
    return isPassed;
}

} // namespace jackdawlead::soak
