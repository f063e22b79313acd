#include "observability/boundedappender.h"

#include "net/clocks.h"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <sstream>

namespace jackdawlead::observability {

namespace {

// A pipe that can be written to takes this many bytes without waiting (PIPE_BUF).
constexpr std::size_t longestLine = 4096;

} // namespace

BoundedAppender::BoundedAppender(int descriptor, LogRateLimits limits)
    : m_descriptor(descriptor)
    , m_budget(limits)
{ }

BoundedAppender::~BoundedAppender()
{
    destructorImpl();
}

void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    const bool isBudgeted = event.getLogLevel() < log4cplus::WARN_LOG_LEVEL;
    if (isBudgeted && !m_budget.tryTake(net::steadyTime()))
        return;
    std::ostringstream text;
    layout->formatAndAppend(text, event);
    std::string line = text.str();
    if (const std::uint64_t leftOut = m_budget.takeSuppressedCount() + m_lost; leftOut > 0) {
        m_lost = 0;
        // The line ends with a closing brace and a line break.
        line.insert(line.rfind('}'), ",\"linesLeftOutBefore\":" + std::to_string(leftOut));
        if (!writeLine(line))
            m_lost = leftOut + 1;
        return;
    }
    if (!writeLine(line))
        ++m_lost;
}

bool BoundedAppender::writeLine(const std::string &line) const
{
    if (line.size() > longestLine)
        return false;
    pollfd ready {m_descriptor, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        return false;
    return write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

} // namespace jackdawlead::observability
