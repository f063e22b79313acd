#pragma once

#include "trace.h"

#include <list>
#include <set>
#include <unordered_map>
#include <vector>

namespace jackdawlead::bench {

/// One engine with continuous batching. A step takes 8 ms, 0.25 ms for each sequence, 0.3 ms for
/// each distinct adapter and 0.05 ms for each prompt token that is not in the prefix cache; it
/// generates one token for each sequence. The prefix cache holds the 48 most recent sessions.
class EngineModel
{
public:
    struct Token
    {
        std::size_t request = 0;
        bool isFirst = false;
        bool isLast = false;
    };

    void add(std::size_t index, const TraceRequest &request);
    bool isIdle() const { return m_sequences.empty(); }
    /// Starts a step and returns its duration. Precondition: the engine is not idle.
    Duration startStep();
    /// Ends the step and returns one token for each sequence that took part in it.
    std::vector<Token> endStep();
    /// Drops all sequences and the prefix cache, and returns the interrupted requests.
    std::vector<std::size_t> restart();

    Duration busyTime() const { return m_busyTime; }
    /// The duration of a step with a full batch that uses one adapter.
    static Duration fullBatchStepTime(std::size_t maxBatch);
    double usefulTokens() const { return m_usefulTokens; }
    void resetCounters();

private:
    struct Sequence
    {
        std::size_t request = 0;
        std::size_t adapter = 0;
        int remaining = 0;
        bool isStarted = false;
        bool isInStep = false;
    };

    bool isCached(std::size_t session);
    void cachePrefix(std::size_t session);

    std::vector<Sequence> m_sequences;
    int m_prefillTokens = 0;
    std::list<std::size_t> m_cachedSessions;
    std::unordered_map<std::size_t, std::list<std::size_t>::iterator> m_cacheEntries;
    Duration m_busyTime {};
    double m_usefulTokens = 0;
};

} // namespace jackdawlead::bench
