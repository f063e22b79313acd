#include "trace.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace jackdawlead::bench {

namespace {

constexpr int firstPromptTokens = 400;
constexpr int addedPromptTokens = 150;
constexpr double adaptersChangedPerHour = 0.17;
constexpr int minOutputTokens = 16;

Duration seconds(double value)
{
    return Duration(static_cast<Duration::rep>(value * 1e6));
}

// The popularity of the adapters: a Zipf distribution over ranks and the adapter at each rank.
class Popularity
{
public:
    Popularity(const Deployment &deployment, std::mt19937_64 &random)
        : m_random(random)
        , m_adapterOfRank(deployment.adapters)
    {
        std::iota(m_adapterOfRank.begin(), m_adapterOfRank.end(), std::size_t {0});
        std::shuffle(m_adapterOfRank.begin(), m_adapterOfRank.end(), m_random);
        std::vector<double> weights;
        for (std::size_t rank = 1; rank <= deployment.adapters; ++rank)
            weights.push_back(std::pow(static_cast<double>(rank), -deployment.zipfExponent));
        m_ranks = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    std::size_t drawAdapter() { return m_adapterOfRank[m_ranks(m_random)]; }

    void swapRanks(double share, std::mt19937_64 &random)
    {
        std::uniform_int_distribution<std::size_t> anyRank(0, m_adapterOfRank.size() - 1);
        const auto swaps = static_cast<std::size_t>(
            std::lround(share * static_cast<double>(m_adapterOfRank.size()) / 2));
        for (std::size_t swap = 0; swap < swaps; ++swap)
            std::swap(m_adapterOfRank[anyRank(random)], m_adapterOfRank[anyRank(random)]);
    }

private:
    std::mt19937_64 &m_random;
    std::vector<std::size_t> m_adapterOfRank;
    std::discrete_distribution<std::size_t> m_ranks;
};

void addSession(const Deployment &deployment, TimePoint start, std::size_t session,
                std::size_t adapter, std::mt19937_64 &random, std::vector<TraceRequest> &trace)
{
    std::geometric_distribution<int> extra(1.0 / deployment.requestsPerSession);
    std::exponential_distribution<double> think(1.0 / deployment.thinkSeconds);
    std::exponential_distribution<double> output(1.0 / (deployment.outputTokens - minOutputTokens));
    std::uniform_real_distribution<double> deadline(6, 14);
    const bool isHomeRegion = std::bernoulli_distribution(deployment.homeRegionShare)(random);
    // Every third adapter belongs to the first quarter of the customers.
    const std::size_t customer = adapter % 3 == 0 ? adapter / 3 % (deployment.customers / 4)
                                                  : adapter % deployment.customers;
    const int count = 1 + extra(random);
    int prompt = firstPromptTokens;
    int shared = 0;
    TimePoint at = start;
    for (int index = 0; index < count; ++index) {
        const int tokens = minOutputTokens + static_cast<int>(output(random));
        trace.push_back({.arrival = at,
                         .deadline = at + seconds(deadline(random)),
                         .adapter = adapter,
                         .customer = customer,
                         .session = session,
                         .isHomeRegion = isHomeRegion,
                         .promptTokens = prompt,
                         .sharedTokens = shared,
                         .outputTokens = tokens});
        shared = prompt;
        prompt += addedPromptTokens + tokens;
        at += seconds(think(random));
    }
}

} // namespace

std::vector<TraceRequest> makeTrace(const Deployment &deployment, std::uint64_t seed,
                                    TimePoint shiftAt)
{
    std::mt19937_64 random(seed);
    // A separate generator keeps the arrivals equal with and without the shift.
    std::mt19937_64 shiftRandom(seed + 1000);
    Popularity popularity(deployment, random);
    // A burst of 5 s at three times the rate in each minute adds one sixth to the mean rate.
    const double rate = deployment.requestsPerSecond / deployment.requestsPerSession / (7.0 / 6.0);
    const TimePoint end = TimePoint(deployment.length);
    std::vector<TraceRequest> trace;
    TimePoint at;
    TimePoint nextChange {std::chrono::minutes(1)};
    std::size_t session = 0;
    bool isShifted = false;
    while (at < end) {
        const bool isBurst
            = at.time_since_epoch() % std::chrono::minutes(1) >= std::chrono::seconds(55);
        at += seconds(std::exponential_distribution<double>(isBurst ? rate * 3 : rate)(random));
        if (at >= nextChange) {
            popularity.swapRanks(adaptersChangedPerHour / 60, random);
            nextChange += std::chrono::minutes(1);
        }
        if (at >= shiftAt && !isShifted) {
            popularity.swapRanks(0.5, shiftRandom);
            isShifted = true;
        }
        addSession(deployment, at, session++, popularity.drawAdapter(), random, trace);
    }
    std::erase_if(trace, [end](const TraceRequest &request) { return request.arrival >= end; });
    std::ranges::stable_sort(trace, {}, &TraceRequest::arrival);
    return trace;
}

} // namespace jackdawlead::bench
