#include "support/caller.h"

#include "support/loopwait.h"

#include <algorithm>
#include <sstream>

namespace jackdawlead::testsupport {

namespace {

using nlohmann::json;

constexpr core::Duration callLimit = std::chrono::seconds(60);
constexpr core::Duration checkPeriod = std::chrono::milliseconds(20);

std::string textOfEvents(const std::string &body)
{
    std::istringstream lines(body);
    std::string text;
    bool isDone = false;
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("data: "))
            continue;
        if (line == "data: [DONE]") {
            isDone = true;
            continue;
        }
        const json event = json::parse(line.substr(6), nullptr, false);
        if (!event.is_object() || !event.contains("choices"))
            return {};
        text += event["choices"][0]["delta"].value("content", std::string());
    }
    return isDone ? text : std::string();
}

} // namespace

std::string textOf(const Answer &answer)
{
    if (answer.headers.value("Content-Type") == "text/event-stream")
        return textOfEvents(answer.body);
    const json body = json::parse(answer.body, nullptr, false);
    if (!body.is_object() || !body.contains("choices"))
        return {};
    return body["choices"][0]["message"].value("content", std::string());
}

Caller::Caller()
    : m_timers(m_loop)
    , m_http(m_loop, m_timers)
{ }

AnswerPtr Caller::start(std::uint16_t port, const net::HttpRequest &request)
{
    auto answer = std::make_shared<Answer>();
    const core::TimePoint begin = m_timers.now();
    net::HttpReplyHandlers handlers;
    handlers.onHead = [answer](int status, const net::Headers &headers) {
        answer->status = status;
        answer->headers = headers;
    };
    handlers.onData = [answer](std::string_view data) { answer->body += data; };
    handlers.onEnd = [this, answer, begin](const absl::Status &status) {
        answer->isEnded = true;
        answer->end = status;
        answer->took = m_timers.now() - begin;
    };
    m_calls.push_back(std::make_shared<net::HttpCall>(
        m_http.stream({"127.0.0.1", port}, request, {callLimit, callLimit}, std::move(handlers))));
    return answer;
}

bool Caller::waitUntil(const std::function<bool()> &condition, core::Duration limit)
{
    const core::TimePoint end = m_timers.now() + limit;
    while (!condition()) {
        if (m_timers.now() >= end)
            return false;
        runLoopFor(checkPeriod);
    }
    return true;
}

void Caller::runLoopFor(core::Duration time)
{
    runFor(m_loop, m_timers, time);
}

bool Caller::waitForAll(const std::vector<AnswerPtr> &answers, core::Duration limit)
{
    return waitUntil(
        [&answers] {
            return std::ranges::all_of(answers, [](const auto &answer) { return answer->isEnded; });
        },
        limit);
}

Answer Caller::call(std::uint16_t port, const net::HttpRequest &request)
{
    const AnswerPtr answer = start(port, request);
    waitForAll({answer}, callLimit);
    return *answer;
}

json Caller::read(std::uint16_t port, const std::string &path)
{
    const json body = json::parse(readText(port, path), nullptr, false);
    return body.is_discarded() ? json() : body;
}

std::string Caller::readText(std::uint16_t port, const std::string &path)
{
    const Answer answer = call(port, {"GET", path, {}, {}});
    return answer.isComplete() ? answer.body : std::string();
}

bool Caller::write(std::uint16_t port, const std::string &method, const std::string &path,
                   const json &body)
{
    return call(port, {method, path, {}, body.dump()}).isComplete();
}

} // namespace jackdawlead::testsupport
