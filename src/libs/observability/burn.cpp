#include "observability/burn.h"

#include <algorithm>

namespace jackdawlead::observability {

namespace {

constexpr core::Duration maxWindow = std::chrono::hours(1);
// About 400 samples cover the maximum window; a sample takes 56 bytes.
constexpr core::Duration minSampleInterval = std::chrono::seconds(10);

} // namespace

Objectives defaultObjectives()
{
    constexpr double share = 0.95;
    return {Objective {std::chrono::milliseconds(440), share},
            Objective {std::chrono::milliseconds(5000), share},
            Objective {std::chrono::milliseconds(440), share}};
}

const char *toString(Indicator indicator)
{
    switch (indicator) {
    case Indicator::FirstToken:
        return "firstToken";
    case Indicator::Answer:
        return "answer";
    case Indicator::LoadStall:
        break;
    }
    return "loadStall";
}

double burnRate(const BurnCounts &counts, double share)
{
    if (counts.total == 0 || share >= 1.0)
        return 0;
    const auto badCount = static_cast<double>(counts.total - counts.good);
    return badCount / static_cast<double>(counts.total) / (1.0 - share);
}

void BurnHistory::add(core::TimePoint now, const BurnSample &sample)
{
    // The newest entry is overwritten until it is minSampleInterval after the one before it.
    if (m_samples.size() > 1 && now - m_samples[m_samples.size() - 2].at < minSampleInterval)
        m_samples.back() = {now, sample};
    else
        m_samples.push_back({now, sample});
    // The last sample before the start of the window is kept, so that the window is covered
    // completely.
    while (m_samples.size() > 2 && m_samples[1].at <= now - maxWindow)
        m_samples.pop_front();
}

BurnWindow BurnHistory::window(core::Duration length) const
{
    if (m_samples.empty())
        return {};
    const Entry &newest = m_samples.back();
    const auto firstInside = std::ranges::find_if(
        m_samples, [&](const Entry &entry) { return entry.at > newest.at - length; });
    const Entry &oldest = firstInside == m_samples.begin() ? *firstInside : *std::prev(firstInside);
    BurnWindow result;
    result.covered = newest.at - oldest.at;
    for (std::size_t index = 0; index < indicatorCount; ++index)
        result.counts[index] = {newest.sample[index].total - oldest.sample[index].total,
                                newest.sample[index].good - oldest.sample[index].good};
    return result;
}

} // namespace jackdawlead::observability
