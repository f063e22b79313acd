#include "links.h"

#include <algorithm>

namespace jackdawlead::soak {

namespace {

using std::chrono::milliseconds;

/// Limits the relayed connections, which all use descriptors of the soak.
constexpr int maxDaemonsWithLinks = 4;

std::string loopback(std::uint16_t port)
{
    return net::Address {"127.0.0.1", port}.toString();
}

std::string nameOf(testsupport::FaultyLink::Fault fault)
{
    switch (fault) {
    case testsupport::FaultyLink::Fault::Reset:
        return "links: reset";
    case testsupport::FaultyLink::Fault::Silent:
        return "links: hang";
    case testsupport::FaultyLink::Fault::Refusing:
        return "links: refuse new connections";
    case testsupport::FaultyLink::Fault::AcceptedAndReset:
        return "links: accept and reset";
    case testsupport::FaultyLink::Fault::AcceptedAndSilent:
        return "links: accept and hang";
    case testsupport::FaultyLink::Fault::None:
        break;
    }
    return "links: whole";
}

} // namespace

Links::Links(net::EventLoop &loop, net::TimerService &timers, Schedule &schedule, Checker &checker,
             const std::vector<std::uint16_t> &endpointPorts, std::uint16_t storePort, int daemons,
             std::uint64_t seed, FaultCounts &faults)
    : m_schedule(schedule)
    , m_checker(checker)
    , m_random(seed)
    , m_faults(faults)
    , m_storePorts(static_cast<std::size_t>(daemons), storePort)
{
    // The others reach the endpoints directly, so that at least half of the daemons are never cut.
    m_daemonLinks.resize(static_cast<std::size_t>(std::min(daemons / 2, maxDaemonsWithLinks)));
    for (std::size_t index = 0; index < m_daemonLinks.size(); ++index) {
        DaemonLinks &own = m_daemonLinks[index];
        own.daemon = index;
        std::map<std::string, std::string> replacements;
        for (const std::uint16_t target : endpointPorts) {
            const std::uint16_t port = m_picker.take();
            own.links.push_back(std::make_unique<testsupport::FaultyLink>(loop, port, target));
            own.links.back()->setRequestHandler(
                [passed = own.passed.get()](std::string_view bytes) {
                    recordRequests(*passed, bytes);
                });
            replacements[loopback(target)] = loopback(port);
        }
        m_storePorts[index] = m_picker.take();
        own.store = std::make_unique<testsupport::StoreView>(loop, timers, m_storePorts[index],
                                                             storePort, replacements);
    }
}

void Links::startSeries(const Daemons &daemons, core::Duration timeLeft)
{
    // The long one begins after the short one, and its checked part, from the stable window on,
    // lies after the faults of the first phase for at least that window.
    const core::Duration shortDelay = m_random.duration(milliseconds(0), milliseconds(4000));
    const core::Duration shortTime = m_random.duration(milliseconds(1000), milliseconds(3500));
    const core::Duration longDelay = m_random.duration(milliseconds(8000), milliseconds(9500));
    const core::Duration longTime = m_random.duration(milliseconds(6500), milliseconds(8000));
    plan(daemons, shortDelay, shortTime, timeLeft);
    plan(daemons, longDelay, longTime, timeLeft);
}

void Links::plan(const Daemons &daemons, core::Duration delay, core::Duration time,
                 core::Duration timeLeft)
{
    if (delay + time < timeLeft)
        m_schedule.after(delay, [this, &daemons, time] {
            if (!m_isPlanSuspended && !m_areInterrupted)
                interrupt(daemons, time);
        });
}

bool Links::interrupt(const Daemons &daemons, core::Duration time)
{
    if (m_daemonLinks.empty())
        return false;
    std::ranges::shuffle(m_daemonLinks, m_random.generator());
    // Those of an earlier release need not know a way through others.
    const auto linked = std::partition(m_daemonLinks.begin(), m_daemonLinks.end(),
                                       [&daemons](const DaemonLinks &own) {
                                           return daemons.isPresentProgram(own.daemon);
                                       })
        - m_daemonLinks.begin();
    if (linked == 0 || (daemons.hasEarlierProgram() && !hasPresentPeer(daemons)))
        return false;
    const int count = m_random.number(1, static_cast<int>(linked));
    std::map<ProcessIncarnation, bool> interrupted;
    for (DaemonLinks &own : std::span(m_daemonLinks).first(static_cast<std::size_t>(count))) {
        // Daemons of an earlier release cannot say whether an endpoint answers them.
        const Fault last
            = daemons.hasEarlierProgram() ? Fault::AcceptedAndReset : Fault::AcceptedAndSilent;
        const auto fault = static_cast<Fault>(
            m_random.number(static_cast<int>(Fault::Reset), static_cast<int>(last)));
        ++m_faults[nameOf(fault)];
        if (const auto incarnation = daemons.incarnation(own.daemon))
            interrupted[*incarnation] = fault != Fault::Refusing;
        if (fault != Fault::Refusing)
            m_checker.answersInterrupted(*own.passed);
        setFault(own, fault);
    }
    m_checker.linksInterrupted(interrupted, m_schedule.now());
    m_areInterrupted = true;
    m_schedule.after(time, [this] { restore(); });
    return true;
}

// A daemon with whole links may know an endpoint only from another daemon, with the address of that
// one's link.
void Links::recordRequests(RequestIds &ids, std::string_view bytes)
{
    constexpr std::string_view field = "\r\nRequest-Id: ";
    for (auto at = bytes.find(field); at != std::string_view::npos; at = bytes.find(field, at)) {
        at += field.size();
        ids.emplace(std::string(bytes.substr(at, bytes.find('\r', at) - at)));
    }
}

bool Links::hasPresentPeer(const Daemons &daemons) const
{
    for (std::size_t index = 0; index < daemons.count(); ++index) {
        const bool isLinked
            = std::ranges::find(m_daemonLinks, index, &DaemonLinks::daemon) != m_daemonLinks.end();
        if (!isLinked && daemons.isPresentProgram(index) && daemons.incarnation(index))
            return true;
    }
    return false;
}

void Links::restore()
{
    for (DaemonLinks &own : m_daemonLinks) {
        // Connections that hung are reset, as what they hold would arrive seconds late.
        if (own.fault == Fault::Silent)
            setFault(own, Fault::Reset);
        if (own.fault != Fault::None)
            setFault(own, Fault::None);
    }
    m_areInterrupted = false;
    m_checker.linksRestored(m_schedule.now());
}

void Links::setFault(DaemonLinks &links, Fault fault)
{
    links.fault = fault;
    for (const auto &link : links.links)
        link->setFault(fault);
}

} // namespace jackdawlead::soak
