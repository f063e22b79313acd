#pragma once

#include "support/caller.h"
#include "support/ports.h"
#include "support/process.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jackdawlead::testsupport {

struct FleetOptions
{
    std::size_t daemons = 2;
    std::size_t engines = 2;
    /// How many of the daemons and engines, counted from the last, are in the second region.
    std::size_t awayDaemons = 0;
    std::size_t awayEngines = 0;
    int slots = 4;
    int adapters = 12;
    int tokens = 8;
    std::chrono::milliseconds tokenTime {5};
    bool isFencingChecked = false;
    /// Leases of 3 s instead of 15 s, to keep the wait for a take-over short.
    bool hasShortLeases = true;
    /// Lines of the section `limits` of the settings, such as "firstByteTimeoutMs: 1000".
    std::vector<std::string> limits {};
    /// Whether connections to engines pass a relay.
    bool areEnginesRelayed = false;
    /// Whether every connection between the regions passes a relay; the object API is in the first.
    bool isLinkRelayed = false;
};

/// How one run of jackdawctl ended.
struct ControlResult
{
    int exitCode = -1;
    std::string output;
};

/// A fleet of real processes on free loopback ports: the platform's stand-in, engines, one plain
/// service (`orders`) and daemons. Everything is ended and reaped by the destructor.
/// Thread safety: one thread at a time.
class Fleet
{
public:
    explicit Fleet(FleetOptions options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Whether every process answered and every engine had an owner within the limit.
    bool isReady() const { return m_isReady; }
    Caller &caller() { return m_caller; }

    Process &daemon(std::size_t index) { return m_daemons.at(index).process; }
    Process &engine(std::size_t index) { return m_engines.at(index).process; }
    std::uint16_t callerPort(std::size_t daemon) const { return m_daemons.at(daemon).caller; }
    std::uint16_t adminPort(std::size_t daemon) const { return m_daemons.at(daemon).admin; }
    std::uint16_t enginePort(std::size_t index) const { return m_engines.at(index).port; }
    std::uint16_t platformPort() const { return m_platformPort; }
    std::uint16_t servicePort() const { return m_servicePort; }

    void startDaemon(std::size_t index);
    void startEngine(std::size_t index);
    /// Sets the state of an entry of the host list: "live", "leaving", or "" to take it out.
    void setHostState(const std::string &name, const std::string &state);
    bool setPlatformFault(const nlohmann::json &fault);
    bool setEngineFault(std::size_t index, const nlohmann::json &fault);
    /// Sets what the relay of an engine does; see tests/fakes/fakerelay.cpp.
    bool setEngineRelay(std::size_t index, const nlohmann::json &mode);
    /// Sets what the relays between the regions do.
    bool setLink(const nlohmann::json &mode);

    /// Starts a chat request to an adapter, such as "adapter-1@1".
    AnswerPtr chat(std::size_t daemon, const std::string &model, const std::string &prompt,
                   bool isStream, std::chrono::milliseconds deadline = std::chrono::seconds(30));
    /// Starts an order that must not run twice.
    AnswerPtr order(std::size_t daemon, const std::string &key, const std::string &body);

    /// Runs jackdawctl and returns its exit code.
    int control(const std::vector<std::string> &arguments);
    /// Runs jackdawctl several times at once, one run for each list of arguments.
    std::vector<ControlResult>
    controlAtOnce(const std::vector<std::vector<std::string>> &argumentLists);
    /// Writes a manifest and returns its path.
    std::string writeManifest(const std::string &release, int adapters);
    std::uint64_t generation(std::size_t daemon);
    /// The owner of each engine that has one.
    std::map<std::string, std::string> owners();
    bool waitForOwners(core::Duration limit);

    /// The sum over all running engines of one of their counters.
    int engineCounter(const std::string &name);
    /// The number of runs by idempotency key.
    nlohmann::json serviceRuns() { return m_caller.read(m_servicePort, "/fake/runs"); }
    /// Whether the answer is exactly what one engine recorded for the request and its adapter.
    bool isRecorded(const Answer &answer, const std::string &model);
    std::string daemonLog(std::size_t index) const;
    std::filesystem::path folder() const { return m_folder; }

    /// Keeps asking until the model is served; false if it is not within `limit`.
    bool waitForModel(std::size_t daemon, const std::string &model, core::Duration limit);
    /// Whether the models of adapter 1 to `count` are all served within `limit`.
    bool waitForModels(std::size_t daemon, int count, core::Duration limit);

    static std::string modelName(int number) { return "adapter-" + std::to_string(number) + "@1"; }
    static std::string daemonName(std::size_t index) { return "daemon-" + std::to_string(index); }
    static std::string engineName(std::size_t index) { return "engine-" + std::to_string(index); }

private:
    struct DaemonEntry
    {
        std::uint16_t caller = 0;
        std::uint16_t peer = 0;
        std::uint16_t admin = 0;
        std::uint16_t relayPort = 0;
        std::uint16_t controlPort = 0;
        Process process;
        Process relay;
    };
    struct EngineEntry
    {
        std::uint16_t port = 0;
        std::uint16_t relayPort = 0;
        std::uint16_t controlPort = 0;
        Process process;
        Process relay;
    };

    bool isAwayDaemon(std::size_t index) const;
    bool waitForModels(std::size_t daemon, std::vector<std::string> models, core::Duration limit);
    void choosePorts();
    void writeSettings(std::size_t index);
    Process startProgram(const std::string &name, const std::vector<std::string> &command) const;
    Process startRelay(const std::string &name, std::uint16_t port, std::uint16_t target,
                       std::uint16_t control) const;
    bool isRelayed(bool isAwayTarget, bool isSeenFromAway) const;
    nlohmann::json hostEntries(bool isSeenFromAway) const;
    void startLinkRelays();
    bool hasEndedProcess();
    bool waitForStatus(std::uint16_t port, const std::string &path);
    void startAll();

    FleetOptions m_options;
    std::filesystem::path m_folder;
    Caller m_caller;
    std::unique_ptr<PortPicker> m_ports; ///< Reserves the ports below.
    std::uint16_t m_platformPort = 0;
    std::uint16_t m_servicePort = 0;
    std::uint16_t m_awayPlatformPort = 0;
    std::uint16_t m_awayRelayPort = 0;
    std::uint16_t m_awayControlPort = 0;
    Process m_platform;
    Process m_service;
    Process m_awayPlatform;
    Process m_awayRelay;
    std::vector<EngineEntry> m_engines;
    std::vector<DaemonEntry> m_daemons;
    nlohmann::json m_hosts;
    std::map<std::string, nlohmann::json> m_records;
    int m_controlRuns = 0;
    bool m_isReady = false;
};

} // namespace jackdawlead::testsupport
