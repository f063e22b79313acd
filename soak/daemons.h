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

/// The daemons under test: real processes that are stopped, killed, frozen and started again. All
/// of them are ended by their ids when the object is destroyed. Thread safety: the loop's thread
/// only.
class Daemons
{
public:
    /// Logs and settings files are kept in `folder`. Precondition: the other arguments outlive this
    /// object.
    Daemons(Schedule &schedule, Checker &checker, const Bounds &bounds, int count,
            std::uint16_t storePort, std::string folder);

    std::size_t count() const { return m_daemons.size(); }
    std::uint16_t callerPort(std::size_t index) const { return m_daemons[index].callerPort; }
    std::uint16_t readyPort(std::size_t index) const { return m_daemons[index].readyPort; }
    /// The life that runs now; nothing between two lives.
    std::optional<ProcessLife> life(std::size_t index) const;

    /// Each of them returns whether it could be done in the present state of the daemon. A stopped
    /// or killed daemon is started again.
    bool terminate(std::size_t index, core::Duration pause);
    bool kill(std::size_t index, core::Duration pause);
    bool freeze(std::size_t index, core::Duration time);
    bool hangUp(std::size_t index);
    /// Stops all of them for good.
    void terminateAll();
    bool areAllEnded() const;

    /// The last lines of the log of the daemon that had this life, and those that name `text`.
    std::string logOf(ProcessLife life, const std::string &text) const;

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
        ProcessLife life;
        std::vector<ProcessLife> lives;
    };

    void writeSettings(std::size_t index, std::uint16_t storePort, std::uint16_t peerPort) const;
    void start(std::size_t index);
    void stop(Daemon &daemon);
    void awaitEnd(std::size_t index, core::TimePoint killAt, core::Duration pause);
    void watch();

    Schedule &m_schedule;
    Checker &m_checker;
    Bounds m_bounds;
    testsupport::PortPicker m_picker;
    std::string m_folder;
    std::vector<Daemon> m_daemons;
    ProcessLife m_lastLife;
    bool m_isOver = false;
};

} // namespace jackdawlead::soak
