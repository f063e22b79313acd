#include "gateway/requesttask.h"

#include <algorithm>

namespace jackdawlead::gateway {

namespace {

// Limits the memory for an answer, which is buffered until it is complete unless it is a stream.
constexpr std::size_t maxBufferedAnswer = 4 * 1024 * 1024;

/// A string that must grow doubles its capacity at least.
std::size_t capacityAfterAppend(const std::string &text, std::size_t size)
{
    const std::size_t needed = text.size() + size;
    return needed <= text.capacity() ? text.capacity() : std::max(needed, 2 * text.capacity());
}

} // namespace

// A known length is reserved at once. Otherwise many large answers at once would all be read in
// part, and none to its end.
void RequestTask::reserveAnswer(std::size_t length)
{
    if (length > maxBufferedAnswer)
        endExchangeAsMalformed();
    else if (shareAnswer(length))
        attempt().answerBody.reserve(length);
}

bool RequestTask::shareAnswer(std::size_t bytes)
{
    if (attempt().answerShare.tryResize(bytes))
        return true;
    endExchangeOverBudget();
    return false;
}

void RequestTask::bufferAnswer(std::string_view bytes)
{
    if (m_isDone)
        return;
    if (attempt().answerBody.size() + bytes.size() > maxBufferedAnswer)
        endExchangeAsMalformed(); // Too large to buffer, and possibly endless.
    else if (shareAnswer(capacityAfterAppend(attempt().answerBody, bytes.size())))
        attempt().answerBody.append(bytes);
}

void RequestTask::endExchangeOverBudget()
{
    m_context.loop.post([weak = weak_from_this(), number = attempt().number] {
        const auto self = weak.lock();
        if (!self || self->m_isDone || !self->m_attempts.select(number))
            return;
        self->runGuarded([&self] {
            if (!self->m_attempts.endCurrent(decisions::RunEnd::BuffersFull))
                return;
            self->attempt().answerBody = {};
            self->attempt().answerShare.resize(0);
            self->m_interruptedAt = self->now();
            self->handleSendFailure(Failure::MayHaveRun, "buffers of the process are full");
        });
    });
}

} // namespace jackdawlead::gateway
