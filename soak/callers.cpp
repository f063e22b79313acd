#include "callers.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::soak {

namespace {

using std::chrono::milliseconds;

constexpr int mostRequests = 200000;  ///< Bounds the memory that the checks need.
constexpr double keptShare = 0.8;     ///< Of requests on a connection that is open already.
constexpr double changingShare = 0.4; ///< Of requests on routes that come and go.
constexpr double adapterShare = 0.3;  ///< Of streams for an adapter, which must be loaded.
constexpr int adapters = 6;           ///< More than an endpoint holds at once.
constexpr double leavingShare = 0.04; ///< Of callers who leave before the end.
constexpr core::Duration connectTimeout = milliseconds(1000);
/// After its time and this, a caller ends an exchange that its daemon has not ended.
constexpr core::Duration patience = milliseconds(3000);

} // namespace

Callers::Callers(net::EventLoop &loop, Schedule &schedule, Checker &checker, const Daemons &daemons,
                 std::uint64_t seed, int count)
    : m_loop(loop)
    , m_schedule(schedule)
    , m_checker(checker)
    , m_daemons(daemons)
    , m_draw(seed)
    , m_prefix("s" + std::to_string(seed) + "-")
{
    for (int number = 0; number < count; ++number) {
        Caller &caller = *m_callers.emplace_back(std::make_unique<Caller>());
        m_schedule.after(m_draw.time(milliseconds(0), milliseconds(200)),
                         [this, &caller] { takeTurn(caller); });
    }
}

void Callers::setRoutes(std::vector<KnownRoute> lasting, std::vector<KnownRoute> changing)
{
    m_lasting = std::move(lasting);
    m_changing = std::move(changing);
}

bool Callers::areIdle() const
{
    return std::ranges::none_of(m_callers, [](const auto &caller) { return caller->isBusy; });
}

void Callers::takeTurn(Caller &caller)
{
    if (m_isOver || m_sent >= mostRequests)
        return;
    if (!connect(caller)) {
        m_schedule.after(milliseconds(50), [this, &caller] { takeTurn(caller); });
        return;
    }
    const auto &routes
        = !m_changing.empty() && m_draw.chance(changingShare) ? m_changing : m_lasting;
    send(caller,
         routes[static_cast<std::size_t>(m_draw.number(0, static_cast<int>(routes.size()) - 1))]);
}

bool Callers::connect(Caller &caller)
{
    caller.daemon
        = static_cast<std::size_t>(m_draw.number(0, static_cast<int>(m_daemons.count()) - 1));
    Kept &kept = caller.kept[caller.daemon];
    if (kept.connection && kept.connection->isReusable() && m_draw.chance(keptShare))
        return true;
    const auto life = m_daemons.life(caller.daemon);
    if (!life)
        return false;
    const net::Address address {"127.0.0.1", m_daemons.callerPort(caller.daemon)};
    kept = {std::make_unique<http::ClientConnection>(m_loop, address, connectTimeout), *life};
    kept.connection->setIdleEndHandler([this, &caller, daemon = caller.daemon] {
        m_schedule.after({}, [&caller, daemon] { dropIfClosed(caller, daemon); });
    });
    return true;
}

std::string Callers::bytesOf(const SentRequest &request, core::Duration deadline,
                             const std::string &model)
{
    // Path and body differ, as requests that are the same and crash endpoints are not sent again.
    const std::string &id = request.id.value();
    std::string bytes = "POST " + request.route + id
        + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
        + std::to_string(std::chrono::duration_cast<milliseconds>(deadline).count())
        + "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n";
    if (isStream(request.kind))
        bytes += "Model: " + model + "\r\nToken-Count: 10,10\r\n";
    return bytes + "\r\n" + id;
}

void Callers::send(Caller &caller, const KnownRoute &route)
{
    const core::Duration deadline = m_draw.time(milliseconds(2500), milliseconds(4000));
    const Kept &kept = caller.kept[caller.daemon];
    const SentRequest request {core::RequestId(m_prefix + std::to_string(++m_sent)),
                               route.kind,
                               route.prefix,
                               kept.life,
                               std::min(deadline, route.timeout),
                               deadline};
    caller.isBusy = true;
    caller.request = request.id;
    caller.answer = {};
    ++caller.turn;
    m_checker.sent(request, m_schedule.now());
    http::ExchangeObserver observer;
    observer.onHead = [&caller](http::MessageHead &head) {
        caller.answer.status = head.status;
        caller.answer.requestId = head.headers.value("Request-Id");
        caller.answer.stamp = head.headers.value("Response-Stamp");
    };
    observer.onBody = [&caller](const std::string &body) { caller.answer.body += body; };
    observer.onEnd = [this, &caller](http::ExchangeEnd how) {
        end(caller, how == http::ExchangeEnd::Complete, how != http::ExchangeEnd::ConnectFailed);
    };
    const std::string model = m_draw.chance(adapterShare)
        ? "base/a" + std::to_string(m_draw.number(1, adapters))
        : "base";
    kept.connection->send({bytesOf(request, deadline, model), false, {}, {}}, std::move(observer));
    watch(caller, request.timeLeft);
}

void Callers::watch(Caller &caller, core::Duration timeLeft)
{
    const auto ifStillBusy = [this, &caller](core::Duration delay, std::function<void()> work) {
        m_schedule.after(delay, [&caller, turn = caller.turn, work = std::move(work)] {
            if (caller.isBusy && caller.turn == turn)
                work();
        });
    };
    ifStillBusy(timeLeft + patience, [this, &caller] {
        caller.kept.erase(caller.daemon);
        end(caller, false, true);
    });
    if (!m_draw.chance(leavingShare))
        return;
    ifStillBusy(m_draw.time(milliseconds(1), milliseconds(200)), [this, &caller] {
        m_checker.abandoned(caller.request, m_schedule.now());
        ++m_outcomes[-1];
        caller.kept.erase(caller.daemon);
        endTurn(caller);
    });
}

void Callers::end(Caller &caller, bool isWhole, bool wasConnected)
{
    caller.answer.isWhole = isWhole;
    caller.answer.wasConnected = wasConnected;
    ++m_outcomes[caller.answer.status];
    m_checker.ended(caller.request, caller.answer, m_schedule.now());
    endTurn(caller);
}

void Callers::dropIfClosed(Caller &caller, std::size_t daemon)
{
    const auto kept = caller.kept.find(daemon);
    const bool isInUse = caller.isBusy && caller.daemon == daemon;
    if (kept != caller.kept.end() && !isInUse && !kept->second.connection->isReusable())
        caller.kept.erase(kept);
}

void Callers::endTurn(Caller &caller)
{
    caller.isBusy = false;
    // A process that stops waits for its callers to close.
    m_schedule.after({}, [&caller, daemon = caller.daemon] { dropIfClosed(caller, daemon); });
    m_schedule.after(m_draw.time(milliseconds(5), milliseconds(60)),
                     [this, &caller] { takeTurn(caller); });
}

} // namespace jackdawlead::soak
