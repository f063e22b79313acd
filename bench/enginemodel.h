#pragma once

#include "trace.h"

#include <list>
#include <set>
#include <unordered_map>
#include <vector>

namespace jackdawlead::bench {

/// One engine with continuous batching. A step takes 8 ms, 0.25 ms for each sequence, 0.3 ms for
/// each distinct adapter and 0.05 ms for each prompt token that is not in the prefix cache; it
/// gives each sequence one token. The prefix cache keeps the last 48 sessions.
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
    /// Starts a step and returns its time. Precondition: the engine is not idle.
    Duration startStep();
    /// Ends the step: one token of each sequence that took part in it.
    std::vector<Token> endStep();
    /// Drops everything and returns the requests that were cut.
    std::vector<std::size_t> restart();

    Duration busyTime() const { return m_busy; }
    /// The time of a full batch's step for one adapter.
    static Duration fullStep(std::size_t maxBatch);
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
    void keepPrefix(std::size_t session);

    std::vector<Sequence> m_sequences;
    int m_prefillTokens = 0;
    std::list<std::size_t> m_cachedSessions;
    std::unordered_map<std::size_t, std::list<std::size_t>::iterator> m_cached;
    Duration m_busy {};
    double m_usefulTokens = 0;
};

} // namespace jackdawlead::bench
