#pragma once

#include "checker.h"
#include "schedule.h"

#include "support/ports.h"
#include "support/process.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jackdawlead::soak {

/// The daemons under test: real processes that are stopped, killed, frozen and restarted. The
/// destructor ends each of them by its process id. Thread safety: the loop's thread only.
class Daemons
{
public:
    struct Files
    {
        std::string program; ///< Of the daemons.
        /// Of daemons that are started while the earlier release is in use; empty for none.
        std::string earlierProgram;
        std::string folder; ///< Receives logs and settings files.
    };

    /// Each daemon reaches the store at its own one of `storePorts`. Precondition: schedule,
    /// checker and bounds outlive this object.
    Daemons(Schedule &schedule, Checker &checker, const Bounds &bounds, int count,
            const std::vector<std::uint16_t> &storePorts, Files files);

    std::size_t count() const { return m_daemons.size(); }
    std::uint16_t callerPort(std::size_t index) const { return m_daemons[index].callerPort; }
    std::uint16_t readyPort(std::size_t index) const { return m_daemons[index].readyPort; }
    /// Daemons that start from now on are of the earlier release, or of the present one. Those that
    /// run stay what they are.
    void useEarlierProgram(bool isEarlier) { m_usesEarlierProgram = isEarlier; }
    bool hasEarlierProgram() const { return !m_files.earlierProgram.empty(); }
    /// Whether the last process of the daemon is one of the present release.
    bool isPresentProgram(std::size_t index) const { return !m_daemons[index].isEarlierProgram; }
    /// The running incarnation, or no value while the process is down.
    std::optional<ProcessIncarnation> incarnation(std::size_t index) const;

    /// These functions return whether the state of the daemon allowed the action. A stopped or
    /// killed daemon is restarted after `restartDelay`.
    bool terminate(std::size_t index, core::Duration restartDelay);
    bool kill(std::size_t index, core::Duration restartDelay);
    bool freeze(std::size_t index, core::Duration time);
    bool sendSighup(std::size_t index);
    /// Stops all daemons without restarting them.
    void terminateAll();
    bool haveAllEnded() const;

    /// The lines that contain `text` and the last lines of the log of the daemon that had this
    /// incarnation.
    std::string logExcerpt(ProcessIncarnation incarnation, const std::string &text) const;

private:
    enum class State { Down, Running, Frozen, Stopping };
    struct Daemon
    {
        std::uint16_t callerPort = 0;
        std::uint16_t readyPort = 0;
        std::string settings;
        std::string log;
        testsupport::Process process;
        State state = State::Down;
        bool isEarlierProgram = false;
        ProcessIncarnation incarnation;
        std::vector<ProcessIncarnation> incarnations;
    };

    void writeSettings(std::size_t index, std::uint16_t storePort, std::uint16_t peerPort) const;
    void start(std::size_t index);
    void stop(Daemon &daemon);
    void pollExit(std::size_t index, ProcessIncarnation incarnation, core::TimePoint killAt,
                  core::Duration restartDelay);
    void pollProcesses();

    Schedule &m_schedule;
    Checker &m_checker;
    Bounds m_bounds;
    testsupport::PortPicker m_picker;
    Files m_files;
    std::vector<Daemon> m_daemons;
    ProcessIncarnation m_lastIncarnation;
    bool m_usesEarlierProgram = false;
    bool m_isShuttingDown = false;
};

} // namespace jackdawlead::soak
