#include "enginemodel.h"

namespace jackdawlead::bench {

namespace {

constexpr Duration stepBase = std::chrono::milliseconds(8);
constexpr Duration stepPerSequence = std::chrono::microseconds(250);
constexpr Duration stepPerAdapter = std::chrono::microseconds(300);
constexpr Duration prefillPerToken = std::chrono::microseconds(50);
constexpr std::size_t maxCachedSessions = 48;

} // namespace

void EngineModel::add(std::size_t index, const TraceRequest &request)
{
    m_prefillTokens += isCached(request.session) ? request.promptTokens - request.sharedTokens
                                                 : request.promptTokens;
    cachePrefix(request.session);
    m_sequences.push_back(
        {.request = index, .adapter = request.adapter, .remaining = request.outputTokens});
}

Duration EngineModel::startStep()
{
    std::set<std::size_t> adapters;
    for (Sequence &sequence : m_sequences) {
        sequence.isInStep = true;
        adapters.insert(sequence.adapter);
    }
    const Duration time = stepBase + stepPerSequence * m_sequences.size()
        + stepPerAdapter * adapters.size() + prefillPerToken * m_prefillTokens;
    m_prefillTokens = 0;
    m_busyTime += time;
    return time;
}

std::vector<EngineModel::Token> EngineModel::endStep()
{
    std::vector<Token> tokens;
    std::erase_if(m_sequences, [&](Sequence &sequence) {
        if (!sequence.isInStep)
            return false;
        --sequence.remaining;
        tokens.push_back({sequence.request, !sequence.isStarted, sequence.remaining <= 0});
        sequence.isStarted = true;
        return sequence.remaining <= 0;
    });
    m_usefulTokens += static_cast<double>(tokens.size());
    return tokens;
}

std::vector<std::size_t> EngineModel::restart()
{
    std::vector<std::size_t> interrupted;
    interrupted.reserve(m_sequences.size());
    for (const Sequence &sequence : m_sequences)
        interrupted.push_back(sequence.request);
    m_sequences.clear();
    m_cachedSessions.clear();
    m_cacheEntries.clear();
    m_prefillTokens = 0;
    return interrupted;
}

Duration EngineModel::fullBatchStepTime(std::size_t maxBatch)
{
    return stepBase + stepPerSequence * maxBatch + stepPerAdapter;
}

void EngineModel::resetCounters()
{
    m_busyTime = {};
    m_usefulTokens = 0;
}

bool EngineModel::isCached(std::size_t session)
{
    return m_cacheEntries.contains(session);
}

void EngineModel::cachePrefix(std::size_t session)
{
    if (const auto found = m_cacheEntries.find(session); found != m_cacheEntries.end())
        m_cachedSessions.erase(found->second);
    m_cachedSessions.push_front(session);
    m_cacheEntries[session] = m_cachedSessions.begin();
    if (m_cachedSessions.size() > maxCachedSessions) {
        m_cacheEntries.erase(m_cachedSessions.back());
        m_cachedSessions.pop_back();
    }
}

} // namespace jackdawlead::bench
