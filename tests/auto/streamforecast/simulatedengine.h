#pragma once

#include "core/time.h"

#include <algorithm>
#include <deque>
#include <vector>

namespace jackdawlead::testsupport {

/// An engine with continuous batching: each step generates one token for every stream of the batch
/// and reads up to a chunk of the prompts that wait. The times are those that were observed on the
/// second deployment; the growth of a step with its batch is an assumption.
class SimulatedEngine
{
public:
    static constexpr int slots = 32;
    static constexpr int chunkTokens = 2048;
    static constexpr int tokensPerEvent = 7;
    static constexpr double stepMilliseconds = 5.1;
    static constexpr double stepMillisecondsPerStream = 0.12;
    static constexpr double prefillTokensPerMillisecond = 29.4;

    struct Emission
    {
        int stream = 0;
        bool isEvent = false;
        bool isLast = false;
    };

    void setTimeFactor(double factor) { m_timeFactor = factor; }
    double timeFactor() const { return m_timeFactor; }
    int requests() const { return static_cast<int>(m_batch.size() + m_queue.size()); }
    bool isIdle() const { return requests() == 0; }
    int unreadTokens() const { return m_unreadTokens; }

    void add(int stream, int promptTokens, int outputTokens)
    {
        m_queue.push_back({stream, promptTokens, outputTokens});
        m_unreadTokens += promptTokens;
    }

    /// Starts a step and returns its duration. Precondition: the engine is not idle.
    core::Duration startStep()
    {
        while (!m_queue.empty() && static_cast<int>(m_batch.size()) < slots) {
            m_batch.push_back(m_queue.front());
            m_queue.pop_front();
        }
        m_chunk = 0;
        int decoding = 0;
        for (Sequence &sequence : m_batch) {
            sequence.read = std::min(sequence.unread, chunkTokens - m_chunk);
            m_chunk += sequence.read;
            decoding += sequence.unread == 0 ? 1 : 0;
        }
        const double milliseconds = stepMilliseconds + stepMillisecondsPerStream * decoding
            + m_chunk / prefillTokensPerMillisecond;
        return std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double, std::milli>(milliseconds * m_timeFactor));
    }

    /// Ends the step. The first token is an event of its own, later ones come seven to an event.
    std::vector<Emission> endStep()
    {
        std::vector<Emission> emissions;
        m_unreadTokens -= m_chunk;
        std::erase_if(m_batch, [&emissions](Sequence &sequence) {
            sequence.unread -= sequence.read;
            if (sequence.unread > 0)
                return false;
            ++sequence.generated;
            const bool isLast = sequence.generated >= sequence.output;
            const bool isEvent = sequence.generated % tokensPerEvent == 1 || isLast;
            if (isEvent)
                emissions.push_back({sequence.stream, true, isLast});
            return isLast;
        });
        return emissions;
    }

private:
    struct Sequence
    {
        int stream = 0;
        int unread = 0;
        int output = 0;
        int generated = 0;
        int read = 0; ///< In the present step.
    };

    double m_timeFactor = 1;
    std::deque<Sequence> m_queue;
    std::vector<Sequence> m_batch;
    int m_unreadTokens = 0;
    int m_chunk = 0;
};

} // namespace jackdawlead::testsupport
