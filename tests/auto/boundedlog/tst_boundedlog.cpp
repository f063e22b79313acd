#include "observability/logline.h"

#include <criterion/criterion.h>

#include <log4cplus/appender.h>
#include <log4cplus/logger.h>

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <array>
#include <sstream>
#include <vector>

using namespace jackdawlead;
using namespace jackdawlead::observability;

namespace {

/// Runs after the appender of the log and records whether that one formatted each line.
class FormatObserver : public log4cplus::Appender
{
public:
    explicit FormatObserver(std::vector<bool> &isFormatted)
        : m_isFormatted(isFormatted)
    { }
    ~FormatObserver() override { destructorImpl(); }

    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const auto *line = dynamic_cast<const LogLine *>(&event);
        m_isFormatted.push_back(line == nullptr || line->isFormatted());
    }

private:
    std::vector<bool> &m_isFormatted;
};

/// Bounded logging with a pipe as the standard output.
struct Fixture
{
    std::array<int, 2> pipe {-1, -1};
    std::vector<bool> isFormatted;
    log4cplus::Logger logger;

    explicit Fixture(LogRateLimits limits)
    {
        cr_assert_eq(::pipe(pipe.data()), 0);
        cr_assert_eq(dup2(pipe[1], STDOUT_FILENO), STDOUT_FILENO);
        cr_assert_eq(close(pipe[1]), 0);
        startBoundedLogging("INFO", core::HostId("host"), limits);
        logger = log4cplus::Logger::getInstance("jackdawlead");
        logger.addAppender(log4cplus::SharedAppenderPtr(new FormatObserver(isFormatted)));
    }

    ~Fixture()
    {
        logger.removeAllAppenders();
        close(pipe[0]);
    }

    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    /// The lines written so far; at least one is required.
    std::vector<nlohmann::json> written() const
    {
        std::array<char, 65536> buffer {};
        const ssize_t size = read(pipe[0], buffer.data(), buffer.size());
        cr_assert_gt(size, 0);
        std::istringstream text(std::string(buffer.data(), static_cast<std::size_t>(size)));
        std::vector<nlohmann::json> lines;
        for (std::string line; std::getline(text, line);)
            lines.push_back(nlohmann::json::parse(line));
        return lines;
    }
};

} // namespace

// Guards against formatting log lines that are never written, which takes processor time during a
// flood of refusals: the JSON was created before the rate limit was checked. A warning is exempt
// from the limit and contains the number of suppressed lines.
Test(boundedlog, lineOverTheRateLimitIsNotFormatted)
{
    constexpr int burst = 3;
    constexpr int lines = 1000;
    Fixture fixture({.linesPerSecond = 0, .burst = burst});
    for (int number = 0; number < lines; ++number)
        log({.step = "fail", .message = "refused", .peer = "caller", .request = "r1"});
    log({.level = LogLevel::Debug, .step = "detail", .message = "below the level"});
    log({.level = LogLevel::Warn, .step = "overload", .message = "endpoints are full"});
    const std::vector<bool> &isFormatted = fixture.isFormatted;
    cr_assert_eq(isFormatted.size(), static_cast<std::size_t>(lines + 1));
    for (int number = 0; number < lines; ++number)
        cr_assert_eq(isFormatted[static_cast<std::size_t>(number)], number < burst, "line %d",
                     number);
    cr_assert(isFormatted.back());
    const auto written = fixture.written();
    cr_assert_eq(written.size(), static_cast<std::size_t>(burst + 1));
    cr_assert_eq(written[0].at("host"), "host");
    cr_assert_eq(written[0].at("step"), "fail");
    cr_assert_eq(written[0].at("peer"), "caller");
    cr_assert_eq(written[0].at("request"), "r1");
    cr_assert_eq(written[0].at("message"), "refused");
    cr_assert_eq(written.back().at("level"), "WARN");
    cr_assert_eq(written.back().at("linesLeftOutBefore"), lines - burst);
}
