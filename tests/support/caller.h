#pragma once

#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/timerservice.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jackdawlead::testsupport {

/// One reply as far as it has arrived.
struct Answer
{
    int status = 0;
    net::Headers headers;
    std::string body;
    /// Whether the call has ended, completely or not.
    bool isEnded = false;
    /// OK only if the whole reply arrived.
    absl::Status end;
    core::Duration took {};

    bool isComplete() const { return isEnded && end.ok() && status == 200; }
    bool isNotRun() const { return headers.value("X-Outcome") == "not-run"; }
};
using AnswerPtr = std::shared_ptr<Answer>;

/// The text of a chat answer, streamed or plain; empty if the answer is malformed.
std::string textOf(const Answer &answer);

/// Sends any number of requests at once from one event loop. The loop runs only inside the waiting
/// functions. Thread safety: one thread at a time.
class Caller
{
public:
    Caller();

    /// Starts one request to a loopback port.
    AnswerPtr start(std::uint16_t port, const net::HttpRequest &request);
    /// Runs the loop until `condition` holds; false if it does not within `limit`.
    bool waitUntil(const std::function<bool()> &condition, core::Duration limit);
    /// Runs the loop for a time in which the system under test goes on by itself.
    void runLoopFor(core::Duration time);
    /// Waits for the end of every answer; false if one is missing after `limit`.
    bool waitForAll(const std::vector<AnswerPtr> &answers, core::Duration limit);
    /// Sends one request and waits for its end.
    Answer call(std::uint16_t port, const net::HttpRequest &request);
    /// The JSON body of a GET; null if there is none.
    nlohmann::json read(std::uint16_t port, const std::string &path);
    /// The body of a GET; empty if there is none.
    std::string readText(std::uint16_t port, const std::string &path);
    /// Sends a JSON body and returns whether the status was 200.
    bool write(std::uint16_t port, const std::string &method, const std::string &path,
               const nlohmann::json &body);

private:
    net::EventLoop m_loop;
    net::TimerService m_timers;
    net::HttpClient m_http;
    std::vector<std::shared_ptr<net::HttpCall>> m_calls;
};

} // namespace jackdawlead::testsupport
