#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jackdawlead::testsupport {

/// Interval of the simulation, from its start.
struct Window
{
    core::Duration begin {};
    core::Duration end {};

    bool contains(core::TimePoint now) const
    {
        return now.time_since_epoch() >= begin && now.time_since_epoch() < end;
    }
};

/// Load and faults of one simulation. Domains 0 to 2 are one region, 3 to 5 the other.
struct OverflowScenario
{
    int domains = 6;
    int domainsPerRegion = 3;
    int daemonsPerDomain = 12;
    int endpointsPerDomain = 10;
    int slots = 32;
    /// Demand of each domain as a share of what its own endpoints serve.
    std::vector<double> demand = {1.4, 0.5, 0.5, 0.5, 0.5, 0.5};
    /// Demand of domain 0 outside of `burst`, if there is one.
    double demandOutsideBurst = 0.5;
    std::optional<Window> burst {};
    /// Factor on the times of the endpoints of each domain.
    std::vector<double> slowness = {1, 1, 1, 1, 1, 1};
    core::Duration slotTime = std::chrono::milliseconds(2000); ///< Mean time in a slot.
    core::Duration prefill = std::chrono::milliseconds(80);
    core::Duration target = std::chrono::milliseconds(800); ///< Until the first event.
    core::Duration shortestReportPeriod = std::chrono::milliseconds(250);
    core::Duration longestReportPeriod = std::chrono::milliseconds(750);
    core::Duration viewDelay = std::chrono::milliseconds(50);
    std::optional<Window> coordinatorLost {}; ///< No views.
    std::optional<Window> regionsCut {};      ///< Nothing passes between the regions.
    double lossProbability = 0; ///< Of the requests between regions; costs a time-out.
    double answerBytes = 20'000;
    double linkBytesPerSecond = 60e6 / 8; ///< Between the regions, each way.
    /// Copies of each adapter; 0: every endpoint can take every request.
    int adapters = 0;
    int copies = 3;
    bool areCopiesAtHome = false; ///< Copies are placed in the domain of the demand first.
    core::Duration length = std::chrono::seconds(40);
    core::Duration warmUp = std::chrono::seconds(8);
    std::uint64_t seed = 1;

    int daemons() const { return domains * daemonsPerDomain; }
    int endpoints() const { return domains * endpointsPerDomain; }
    int regionOf(int domain) const { return domain / domainsPerRegion; }
    int domainOfDaemon(int daemon) const { return daemon / daemonsPerDomain; }
    int domainOfEndpoint(int endpoint) const { return endpoint / endpointsPerDomain; }
};

/// What the requests of one simulation got after its warm-up.
struct OverflowResult
{
    double shortCredit = 0; ///< Mean credit of the requests of domain 0.
    double otherCredit = 0; ///< The same of all other domains.
    double bytes = 0; ///< Bytes of answers that left a domain, those between regions four times.
    double domainBytes = 0; ///< Between domains of a region.
    double regionBytes = 0; ///< Between regions.
    /// Largest number of requests from other domains that one domain took in 500 ms.
    double mostTaken = 0;
    double requests = 0;
};

} // namespace jackdawlead::testsupport
