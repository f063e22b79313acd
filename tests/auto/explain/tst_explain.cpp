#include "observability/logratelimiter.h"
#include "tools/arguments.h"
#include "tools/explain.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace jackdawlead;
using namespace jackdawlead::tools;

namespace {

std::string lineOf(const std::string &time, const std::string &step, const std::string &request,
                   const std::string &peer, const std::string &message)
{
    nlohmann::json line {{"time", "2026-12-04T10:00:" + time + "Z"},
                         {"host", "h1"},
                         {"step", step},
                         {"message", message}};
    if (!request.empty())
        line["request"] = request;
    if (!peer.empty())
        line["peer"] = peer;
    return line.dump() + "\n";
}

RequestHistory explain(const std::string &text)
{
    std::istringstream stream(text);
    return explainRequest("r1", readLogLines(stream));
}

} // namespace

// Guards against a history that is out of order or contains lines of other requests, when the logs
// of two daemons are combined.
Test(explain, refusedRequestReportsItsCause)
{
    const auto history = explain(lineOf("02.000", "refuse", "r1", "", "all endpoints are full")
                                 + lineOf("01.500", "send again", "r1", "e1", "endpoint refused")
                                 + lineOf("01.700", "refuse", "r2", "", "the daemon is stopping")
                                 + "not a line of ours\n");
    cr_assert_eq(history.events.size(), 2U);
    cr_assert_eq(history.events[0].at("step"), "send again");
    cr_assert_eq(history.cause, "refuse: all endpoints are full");
}

// Guards against an unknown outcome that is shown without the crash of the endpoint.
Test(explain, unknownOutcomeShowsEndpointCrash)
{
    const auto history = explain(
        lineOf("10.000", "give up", "r1", "e1", "connection broke, may have run 1")
        + lineOf("10.001", "fail", "r1", "e1", "status 502, connection broke")
        + lineOf("10.400", "endpoint", "", "e1", "unreachable: connections broke in a row")
        + lineOf("10.400", "endpoint", "", "e2", "is gone")
        + lineOf("50.000", "endpoint", "", "e1", "is ready"));
    cr_assert_eq(history.cause, "fail: status 502, connection broke");
    cr_assert_eq(history.contextEvents.size(), 1U);
    cr_assert_neq(historyText(history).find("unreachable"), std::string::npos);
}

// Guards against a late stream whose history does not state the wait and the time of sending, and
// against an empty history without an explanation.
Test(explain, lateStreamReportsWaitAndPauses)
{
    const auto history = explain(
        "12.3 host-a "
        + lineOf("10.000", "late", "r1", "e1", "first event after 1007 ms, sent after 918 ms"));
    cr_assert_eq(history.cause, "late: first event after 1007 ms, sent after 918 ms");
    cr_assert_neq(historyText(explain("")).find("no line names this request"), std::string::npos);
}

// Guards against a command line that ignores log files or is accepted without a request id.
Test(explain, argumentsAreParsed)
{
    const auto arguments = parseArguments({"explain", "r1", "--log", "a", "b"});
    cr_assert(arguments.ok());
    cr_assert_eq(arguments->operand, "r1");
    cr_assert_eq(arguments->logFiles.size(), 2U);
    cr_assert_not(parseArguments({"explain"}).ok());
}

// Guards against a flood of refusals that fills the log, and against suppressed lines that are not
// counted.
Test(linebudget, floodIsRateLimitedAndCounted)
{
    observability::LogRateLimiter limiter;
    const observability::LogRateLimits limits;
    core::TimePoint now {std::chrono::seconds(100)};
    int written = 0;
    constexpr int lines = 20000;
    for (int line = 0; line < lines; ++line) {
        written += limiter.tryTake(now) ? 1 : 0;
        now += std::chrono::microseconds(500);
    }
    cr_assert_leq(written, limits.burst + 10 * limits.linesPerSecond + 1);
    cr_assert_eq(limiter.takeSuppressedCount(), static_cast<std::uint64_t>(lines - written));
    cr_assert_eq(limiter.takeSuppressedCount(), 0U);
}

// Guards against a request that waited because of a request limit, without the limit in its
// history.
Test(explain, requestHeldByALimitShowsTheLimit)
{
    const auto history = explain(
        lineOf("10.000", "request limit", "", "e1", "announced, 1.5 requests per second")
        + lineOf("10.100", "wait for permit", "r1", "e1", "request limit reached")
        + lineOf("10.200", "request limit", "", "e2", "announced, 3 requests per second"));
    cr_assert_eq(history.cause, "wait for permit: request limit reached");
    cr_assert_eq(history.contextEvents.size(), 1U);
    cr_assert_neq(historyText(history).find("1.5 requests per second"), std::string::npos);
}

// Guards against a request refused for its customer's quota whose figures are not shown, nor that
// the customer was limited then.
Test(explain, refusalForAQuotaShowsItsFigures)
{
    const std::string figures = "status 429, the customer's quota is used up, customer c1, cost "
                                "1118, allowance 40, last answer of the coordinator 120 ms ago";
    const auto history
        = explain(lineOf("02.000", "refuse", "r1", "", figures)
                  + lineOf("01.900", "customer limit", "", "", "c1 begins to be limited"));
    cr_assert_eq(history.cause, "refuse: " + figures);
    cr_assert_eq(history.contextEvents.size(), 1U);
}
