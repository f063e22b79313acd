#include "observability/boundedappender.h"

#include "net/clocks.h"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <sstream>

namespace jackdawlead::observability {

namespace {

// A writable pipe accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t maxLineBytes = 4096;

} // namespace

BoundedAppender::BoundedAppender(int descriptor, LogRateLimits limits)
    : m_descriptor(descriptor)
    , m_rateLimiter(limits)
{ }

BoundedAppender::~BoundedAppender()
{
    destructorImpl();
}

void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    const bool isRateLimited = event.getLogLevel() < log4cplus::WARN_LOG_LEVEL;
    if (isRateLimited && !m_rateLimiter.tryTake(net::steadyTime()))
        return;
    std::ostringstream text;
    layout->formatAndAppend(text, event);
    std::string line = text.str();
    if (const std::uint64_t suppressed = m_rateLimiter.takeSuppressedCount() + m_lostCount;
        suppressed > 0) {
        m_lostCount = 0;
        // The line ends with a closing brace and a line feed.
        line.insert(line.rfind('}'), ",\"linesLeftOutBefore\":" + std::to_string(suppressed));
        if (!writeLine(line))
            m_lostCount = suppressed + 1;
        return;
    }
    if (!writeLine(line))
        ++m_lostCount;
}

bool BoundedAppender::writeLine(const std::string &line) const
{
    if (line.size() > maxLineBytes)
        return false;
    pollfd ready {m_descriptor, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        return false;
    return write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

} // namespace jackdawlead::observability
