#include "daemons.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <utility>

namespace jackdawlead::soak {

namespace {

using std::chrono::milliseconds;

/// An exit is detected after at most about this time.
constexpr core::Duration pollPeriod = milliseconds(20);
constexpr std::size_t maxTailLines = 30;     ///< Shown of a log.
constexpr std::size_t maxMatchingLines = 20; ///< Shown of the lines that contain a request id.

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::int64_t inMilliseconds(core::Duration time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

} // namespace

Daemons::Daemons(Schedule &schedule, Checker &checker, const Bounds &bounds, int count,
                 const std::vector<std::uint16_t> &storePorts, Files files)
    : m_schedule(schedule)
    , m_checker(checker)
    , m_bounds(bounds)
    , m_files(std::move(files))
    , m_usesEarlierProgram(!m_files.earlierProgram.empty())
{
    m_daemons.resize(static_cast<std::size_t>(count));
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        Daemon &daemon = m_daemons[index];
        daemon.callerPort = m_picker.take();
        daemon.readyPort = m_picker.take();
        daemon.settings = m_files.folder + "/settings" + std::to_string(index) + ".conf";
        daemon.log = m_files.folder + "/daemon" + std::to_string(index) + ".log";
        writeSettings(index, storePorts[index], m_picker.take());
        start(index);
    }
    pollProcesses();
}

void Daemons::writeSettings(std::size_t index, std::uint16_t storePort,
                            std::uint16_t peerPort) const
{
    const Daemon &daemon = m_daemons[index];
    // With two failure domains, a daemon has peers in its own and in the other one.
    const std::string zone = index % 2 == 0 ? "z1" : "z2";
    std::ofstream(daemon.settings)
        << "node=h" << index << "\nzone=" << zone << "\nregion=r1\nzones.z1=r1\nzones.z2=r1"
        << "\nlisten.front=" << loopback(daemon.callerPort)
        << "\nlisten.ready=" << loopback(daemon.readyPort) << "\ninternal_ports=" << peerPort << ","
        << peerPort << "\nplatform.address=" << loopback(storePort)
        << "\nbounds.stable_window_ms=" << inMilliseconds(m_bounds.stableWindow)
        << "\nbounds.drain_ms=" << inMilliseconds(m_bounds.drain)
        << "\nbounds.grace_s=" << core::toSeconds(m_bounds.grace)
        << "\nbounds.config_ms=" << inMilliseconds(m_bounds.configuration)
        << "\nbounds.version_ms=" << inMilliseconds(m_bounds.version)
        << "\nbounds.lease_ms=3000\nbounds.budget_window_s=10\n"
           "bounds.budget_ratio=0.2\nbounds.budget_slack=400\nbootstrap=false\n";
}

void Daemons::start(std::size_t index)
{
    if (m_isShuttingDown)
        return;
    Daemon &daemon = m_daemons[index];
    setenv("JACKDAWLEAD_SETTINGS", daemon.settings.c_str(), 1);
    daemon.isEarlierProgram = m_usesEarlierProgram;
    const std::string &program = m_usesEarlierProgram ? m_files.earlierProgram : m_files.program;
    daemon.process = testsupport::Process({program, "--platform"}, daemon.log, {SIGTERM, SIGHUP});
    daemon.state = State::Running;
    daemon.incarnation = m_lastIncarnation = m_lastIncarnation.next();
    daemon.incarnations.push_back(daemon.incarnation);
    m_checker.processStarted(daemon.incarnation, m_schedule.now());
}

std::optional<ProcessIncarnation> Daemons::incarnation(std::size_t index) const
{
    const Daemon &daemon = m_daemons[index];
    return daemon.state == State::Down ? std::nullopt : std::optional(daemon.incarnation);
}

void Daemons::stop(Daemon &daemon)
{
    daemon.state = State::Stopping;
    m_checker.stopRequested(daemon.incarnation, m_schedule.now());
    daemon.process.signal(SIGTERM);
}

bool Daemons::terminate(std::size_t index, core::Duration restartDelay)
{
    const State state = m_daemons[index].state;
    if (state != State::Running && state != State::Frozen)
        return false;
    stop(m_daemons[index]);
    pollExit(index, m_daemons[index].incarnation, m_schedule.now() + m_bounds.grace, restartDelay);
    return true;
}

void Daemons::pollExit(std::size_t index, ProcessIncarnation incarnation, core::TimePoint killAt,
                       core::Duration restartDelay)
{
    Daemon &daemon = m_daemons[index];
    // A process that was killed while it stopped may have a successor by now.
    if (daemon.state == State::Down || daemon.incarnation != incarnation)
        return;
    // Requests that the end of the grace time cuts off are the daemon's fault, so this is not
    // reported to the checker as a kill.
    if (m_schedule.now() >= killAt)
        daemon.process.kill();
    if (const auto code = daemon.process.exitCode()) {
        m_checker.processEnded(daemon.incarnation, *code);
        daemon.state = State::Down;
        m_schedule.after(restartDelay, [this, index] { start(index); });
        return;
    }
    m_schedule.after(pollPeriod, [this, index, incarnation, killAt, restartDelay] {
        pollExit(index, incarnation, killAt, restartDelay);
    });
}

bool Daemons::kill(std::size_t index, core::Duration restartDelay)
{
    Daemon &daemon = m_daemons[index];
    if (daemon.state == State::Down)
        return false;
    m_checker.processKilled(daemon.incarnation, m_schedule.now());
    daemon.process.kill();
    daemon.state = State::Down;
    m_schedule.after(restartDelay, [this, index] { start(index); });
    return true;
}

bool Daemons::freeze(std::size_t index, core::Duration time)
{
    Daemon &daemon = m_daemons[index];
    if (daemon.state != State::Running)
        return false;
    daemon.state = State::Frozen;
    m_checker.processFrozen(daemon.incarnation, true, m_schedule.now());
    daemon.process.signal(SIGSTOP);
    m_schedule.after(time, [this, index, incarnation = daemon.incarnation] {
        Daemon &frozen = m_daemons[index];
        if (frozen.incarnation != incarnation || frozen.state == State::Down)
            return;
        frozen.process.signal(SIGCONT);
        if (frozen.state == State::Frozen)
            frozen.state = State::Running;
        m_checker.processFrozen(incarnation, false, m_schedule.now());
    });
    return true;
}

bool Daemons::sendSighup(std::size_t index)
{
    if (m_daemons[index].state != State::Running)
        return false;
    m_daemons[index].process.signal(SIGHUP);
    return true;
}

void Daemons::terminateAll()
{
    m_isShuttingDown = true;
    for (std::size_t index = 0; index < m_daemons.size(); ++index)
        terminate(index, {});
}

bool Daemons::haveAllEnded() const
{
    return std::ranges::all_of(m_daemons,
                               [](const Daemon &daemon) { return daemon.state == State::Down; });
}

void Daemons::pollProcesses()
{
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        Daemon &daemon = m_daemons[index];
        if (daemon.state != State::Running)
            continue;
        if (const auto code = daemon.process.exitCode()) {
            m_checker.processEnded(daemon.incarnation, *code);
            daemon.state = State::Down;
            m_schedule.after(pollPeriod, [this, index] { start(index); });
        }
    }
    m_schedule.after(pollPeriod, [this] { pollProcesses(); });
}

std::string Daemons::logExcerpt(ProcessIncarnation incarnation, const std::string &text) const
{
    const auto daemon = std::ranges::find_if(m_daemons, [&](const Daemon &candidate) {
        return std::ranges::find(candidate.incarnations, incarnation)
            != candidate.incarnations.end();
    });
    if (daemon == m_daemons.end())
        return {};
    std::ifstream file(daemon->log);
    std::deque<std::string> tail;
    std::string matches;
    std::size_t matchingLines = 0;
    for (std::string line; std::getline(file, line);) {
        if (!text.empty() && matchingLines < maxMatchingLines
            && line.find(text) != std::string::npos) {
            matches += line + "\n";
            ++matchingLines;
        }
        tail.push_back(std::move(line));
        if (tail.size() > maxTailLines)
            tail.pop_front();
    }
    std::string result = "lines that name it:\n" + matches + "last lines:\n";
    for (const std::string &line : tail)
        result += line + "\n";
    return result;
}

} // namespace jackdawlead::soak
