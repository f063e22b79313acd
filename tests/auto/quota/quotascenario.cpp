#include "auto/quota/quotascenario.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace jackdawlead::testsupport {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ScenarioDraw
{
public:
    explicit ScenarioDraw(std::uint64_t seed)
        : m_random(seed)
    { }

    double real(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(m_random);
    }
    template <typename Value, std::size_t Count> Value of(const std::array<Value, Count> &values)
    {
        return values[std::uniform_int_distribution<std::size_t>(0, Count - 1)(m_random)];
    }
    bool chance(double probability) { return real(0, 1) < probability; }
    core::Duration time(double from, double to) { return core::scaled(seconds(1), real(from, to)); }
    std::vector<int> daemons(int count, double part)
    {
        std::vector<int> all(static_cast<std::size_t>(count));
        std::iota(all.begin(), all.end(), 0);
        std::shuffle(all.begin(), all.end(), m_random);
        all.resize(static_cast<std::size_t>(std::max(1.0, part * count)));
        return all;
    }

private:
    std::mt19937_64 m_random;
};

void addFaults(QuotaScenario &scenario, ScenarioDraw &draw)
{
    using Kind = QuotaFault::Kind;
    constexpr std::array kinds {Kind::Freeze,     Kind::Freeze,        Kind::Cut,
                                Kind::CutReports, Kind::CutAnswers,    Kind::LoseCoordinator,
                                Kind::KillAll,    Kind::RefuseRequests};
    for (core::Duration at = draw.time(5, 12); at < scenario.length - seconds(10);
         at += draw.time(2, 12)) {
        QuotaFault fault {draw.of(kinds), at, seconds(12), {}};
        if (fault.kind == Kind::Freeze) {
            fault.length = seconds(4);
            fault.daemons = draw.daemons(scenario.daemons, draw.of(std::array {0.0, 0.35, 0.9}));
        } else if (fault.kind == Kind::LoseCoordinator || fault.kind == Kind::KillAll) {
            fault.length = draw.time(3, 6);
        } else if (fault.kind == Kind::RefuseRequests) {
            fault.length = draw.time(2, 8);
        } else {
            fault.daemons = draw.daemons(scenario.daemons, 0.35);
        }
        scenario.faults.push_back(fault);
    }
}

} // namespace

QuotaScenario drawQuotaScenario(std::uint64_t seed)
{
    ScenarioDraw draw(seed);
    QuotaScenario scenario;
    scenario.seed = seed;
    scenario.daemons = draw.of(std::array {1, 3, 12, 65, 72});
    scenario.quota.tokensPerSecond = draw.of(std::array {4200.0, 13000.0, 62878.0, 150000.0});
    scenario.quota.burst
        = scenario.quota.tokensPerSecond * draw.of(std::array {0.0, 1.0, 1.0, 3.0});
    // Less tolerance shows smaller faults; the burst must still hold the most expensive requests.
    constexpr double minBurst = 50000;
    if (scenario.quota.burst > minBurst && draw.chance(0.6))
        scenario.tolerance = {seconds(8), 0.01, 2000};
    scenario.skew = draw.real(0, 2);
    scenario.loss = draw.chance(0.5) ? draw.real(0, 0.2) : 0;
    scenario.notRun = draw.chance(0.3) ? draw.real(0, 0.1) : 0;
    // Idle times let tokens gather that a jump spends.
    scenario.loads.clear();
    for (core::Duration from {}; from < scenario.length; from += draw.time(1, 15))
        scenario.loads.push_back({from, draw.of(std::array {0.0, 0.1, 0.55, 1.0, 2.0, 4.2, 7.5})});
    addFaults(scenario, draw);
    if (draw.chance(0.25)) {
        scenario.loweredAt = draw.time(15, 40);
        const double factor = draw.real(0.1, 0.8);
        scenario.lowered = {scenario.quota.tokensPerSecond * factor, scenario.quota.burst * factor};
    }
    return scenario;
}

} // namespace jackdawlead::testsupport
