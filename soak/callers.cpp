#include "callers.h"

#include "expectedbytes.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::soak {

namespace {

using std::chrono::milliseconds;

constexpr int maxRequests = 200000;          ///< Limits the memory that the checks need.
constexpr double reuseShare = 0.8;           ///< Of requests, on a connection that is already open.
constexpr double changeableRouteShare = 0.4; ///< Of requests, on routes that are added and removed.
constexpr double adapterShare = 0.3;     ///< Of streams, for an adapter that must be loaded first.
constexpr double disconnectShare = 0.04; ///< Of requests, aborted by their caller.
constexpr int maxTakeUps = 3;            ///< Of one stream.
constexpr core::Duration minTimeForTakeUp = milliseconds(300);
constexpr milliseconds maxUsualDeadline {4000}; ///< Exceeded on routes with a longer timeout.
constexpr core::Duration connectTimeout = milliseconds(1000);
/// A caller aborts an exchange that has not ended this long after its time limit.
constexpr core::Duration answerGrace = milliseconds(3000);

} // namespace

Callers::Callers(net::EventLoop &loop, Schedule &schedule, Checker &checker, const Daemons &daemons,
                 std::uint64_t seed, int count, std::string idPrefix)
    : m_loop(loop)
    , m_schedule(schedule)
    , m_checker(checker)
    , m_daemons(daemons)
    , m_random(seed)
    , m_idPrefix(std::move(idPrefix))
{
    for (int number = 0; number < count; ++number) {
        Caller &caller = *m_callers.emplace_back(std::make_unique<Caller>());
        m_schedule.after(m_random.duration(milliseconds(0), milliseconds(200)),
                         [this, &caller] { startNext(caller); });
    }
}

void Callers::setRoutes(std::vector<TargetRoute> permanent, std::vector<TargetRoute> changeable)
{
    m_permanentRoutes = std::move(permanent);
    m_changeableRoutes = std::move(changeable);
}

bool Callers::areIdle() const
{
    return std::ranges::none_of(m_callers, [](const auto &caller) { return caller->isBusy; });
}

void Callers::startNext(Caller &caller)
{
    if (m_isStopped || m_sent >= maxRequests)
        return;
    if (!connect(caller)) {
        m_schedule.after(milliseconds(50), [this, &caller] { startNext(caller); });
        return;
    }
    auto takeUp = std::exchange(caller.takeUp, std::nullopt);
    send(caller, takeUp ? *std::move(takeUp) : newAttempt());
}

Callers::Attempt Callers::newAttempt()
{
    const auto &routes = !m_changeableRoutes.empty() && m_random.chance(changeableRouteShare)
        ? m_changeableRoutes
        : m_permanentRoutes;
    const TargetRoute &route
        = routes[static_cast<std::size_t>(m_random.number(0, static_cast<int>(routes.size()) - 1))];
    Attempt attempt;
    attempt.request.kind = route.kind;
    attempt.request.route = route.prefix;
    attempt.request.deadline = route.timeout > maxUsualDeadline
        ? m_random.duration(milliseconds(10000), milliseconds(12000))
        : m_random.duration(milliseconds(2500), maxUsualDeadline);
    attempt.request.timeLeft = std::min(attempt.request.deadline, route.timeout);
    attempt.model = m_random.chance(adapterShare)
        ? "base/a" + std::to_string(m_random.number(1, adapterCount))
        : "base";
    return attempt;
}

std::optional<Callers::Attempt> Callers::takeUpAfter(const Caller &caller) const
{
    Attempt attempt = caller.attempt;
    SentRequest &request = attempt.request;
    const bool isWhole = caller.answer.status == 200 && caller.answer.isComplete;
    const int events = caller.answer.status == 200 ? countEvents(caller.answer.body) : 0;
    request.timeLeft -= m_schedule.now() - attempt.sentAt;
    if (request.kind != RequestKind::ResumableStream || isWhole || request.firstEvent + events == 1
        || request.timeLeft < minTimeForTakeUp || ++attempt.takeUps > maxTakeUps)
        return std::nullopt;
    if (request.begunBy.isEmpty()) {
        request.begunBy = request.id;
        request.softwareVersion = softwareVersionOf(caller.answer.body);
    }
    request.firstEvent += events;
    request.deadline = request.timeLeft;
    return attempt;
}

bool Callers::connect(Caller &caller)
{
    caller.daemon
        = static_cast<std::size_t>(m_random.number(0, static_cast<int>(m_daemons.count()) - 1));
    const auto pooled = caller.pool.find(caller.daemon);
    const bool isReusable = pooled != caller.pool.end() && pooled->second.connection->isReusable();
    if (isReusable && m_random.chance(reuseShare))
        return true;
    const auto incarnation = m_daemons.incarnation(caller.daemon);
    if (!incarnation)
        return false;
    const net::Address address {"127.0.0.1", m_daemons.callerPort(caller.daemon)};
    auto connection = std::make_unique<http::ClientConnection>(m_loop, address, connectTimeout);
    connection->setIdleEndHandler([this, &caller, daemon = caller.daemon] {
        m_schedule.after({}, [&caller, daemon] { removeIfClosed(caller, daemon); });
    });
    caller.pool[caller.daemon] = {std::move(connection), *incarnation};
    return true;
}

std::string Callers::serialize(const SentRequest &request, const std::string &model)
{
    // Path and body are unique, because the daemon does not resend identical requests that appear
    // to crash endpoints; those of a take-up are the same as before.
    const bool isTakeUp = !request.begunBy.isEmpty();
    const std::string &name = isTakeUp ? request.begunBy.value() : request.id.value();
    std::string bytes = "POST " + request.route + name
        + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + request.id.value() + "\r\nDeadline-Ms: "
        + std::to_string(std::chrono::duration_cast<milliseconds>(request.deadline).count())
        + "\r\nContent-Length: " + std::to_string(name.size()) + "\r\n";
    if (isStream(request.kind))
        bytes += "Model: " + model + "\r\nToken-Count: 10,10\r\n";
    if (isTakeUp)
        bytes += "Resumes: " + name + "\r\nLast-Event-Id: " + std::to_string(request.firstEvent - 1)
            + "\r\n";
    return bytes + "\r\n" + name;
}

void Callers::send(Caller &caller, Attempt attempt)
{
    const PooledConnection &pooled = caller.pool[caller.daemon];
    SentRequest &request = attempt.request;
    request.id = core::RequestId(m_idPrefix + std::to_string(++m_sent));
    request.incarnation = pooled.incarnation;
    attempt.sentAt = m_schedule.now();
    caller.isBusy = true;
    caller.attempt = std::move(attempt);
    caller.answer = {};
    ++caller.sequence;
    m_checker.requestSent(caller.attempt.request, m_schedule.now());
    http::ExchangeObserver observer;
    observer.onHead = [&caller](http::MessageHead &head) {
        caller.answer.status = head.status;
        caller.answer.requestId = head.headers.value("Request-Id");
        caller.answer.stamp = head.headers.value("Response-Stamp");
    };
    observer.onBody = [&caller](const std::string &body) { caller.answer.body += body; };
    observer.onEnd = [this, &caller](http::ExchangeEnd how) {
        finishRequest(caller, http::isComplete(how), how != http::ExchangeEnd::ConnectFailed);
    };
    const std::string bytes = serialize(caller.attempt.request, caller.attempt.model);
    pooled.connection->send({bytes, false, {}, {}}, std::move(observer));
    scheduleAborts(caller, caller.attempt.request.timeLeft);
}

void Callers::scheduleAborts(Caller &caller, core::Duration timeLeft)
{
    const auto ifUnfinished = [this, &caller](core::Duration delay, std::function<void()> work) {
        m_schedule.after(delay, [&caller, sequence = caller.sequence, work = std::move(work)] {
            if (caller.isBusy && caller.sequence == sequence)
                work();
        });
    };
    ifUnfinished(timeLeft + answerGrace, [this, &caller] {
        caller.pool.erase(caller.daemon);
        finishRequest(caller, false, true);
    });
    if (!m_random.chance(disconnectShare))
        return;
    ifUnfinished(m_random.duration(milliseconds(1), milliseconds(200)), [this, &caller] {
        m_checker.requestAbandoned(caller.attempt.request.id, m_schedule.now());
        caller.takeUp = takeUpAfter(caller);
        ++m_outcomes[-1];
        caller.pool.erase(caller.daemon);
        scheduleNext(caller);
    });
}

void Callers::finishRequest(Caller &caller, bool isComplete, bool wasConnected)
{
    caller.answer.isComplete = isComplete;
    caller.answer.wasConnected = wasConnected;
    ++m_outcomes[caller.answer.status];
    m_checker.requestEnded(caller.attempt.request.id, caller.answer, m_schedule.now());
    caller.takeUp = takeUpAfter(caller);
    scheduleNext(caller);
}

void Callers::removeIfClosed(Caller &caller, std::size_t daemon)
{
    const auto pooled = caller.pool.find(daemon);
    const bool isInUse = caller.isBusy && caller.daemon == daemon;
    if (pooled != caller.pool.end() && !isInUse && !pooled->second.connection->isReusable())
        caller.pool.erase(pooled);
}

void Callers::scheduleNext(Caller &caller)
{
    caller.isBusy = false;
    // A stopping process waits until its clients have closed their connections.
    m_schedule.after({}, [&caller, daemon = caller.daemon] { removeIfClosed(caller, daemon); });
    m_schedule.after(m_random.duration(milliseconds(5), milliseconds(60)),
                     [this, &caller] { startNext(caller); });
}

} // namespace jackdawlead::soak
