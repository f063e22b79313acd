#include "endpoints.h"

#include "expectedbytes.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::soak {

namespace {

using std::chrono::milliseconds;

constexpr int maxJoinedEvents = 3; ///< In one write.
/// From the begin of a silence: longer than a caller waits for the next event of its stream.
constexpr core::Duration refusalTime = milliseconds(2700);
constexpr core::Duration quickTime = milliseconds(500);
/// Of long streams. The others leave their callers free, so that they send to a stopping daemon
/// until it exits.
constexpr double slowedShare = 0.4;

} // namespace

bool Endpoints::silence(const std::string &service)
{
    std::vector<Endpoint *> candidates;
    for (const auto &endpoint : m_endpoints) {
        if (endpoint->service != service)
            continue;
        if (endpoint->fake->isPaused())
            return false;
        if (!endpoint->isUnavailable)
            candidates.push_back(endpoint.get());
    }
    if (candidates.empty())
        return false;
    ++m_faults["endpoint: silent for a while"];
    Endpoint *const endpoint = candidates[static_cast<std::size_t>(
        m_silenceRandom.number(0, static_cast<int>(candidates.size()) - 1))];
    endpoint->fake->pause();
    const core::Duration time = m_silenceRandom.duration(milliseconds(1200), milliseconds(2400));
    m_schedule.after(time, [endpoint] { resume(*endpoint); });
    m_refusals[service] = {m_schedule.now() + refusalTime, m_silenceRandom.number(70, 97) / 100.0};
    return true;
}

void Endpoints::accept(Endpoint &endpoint, const Exchange &exchange)
{
    const core::RequestId id(exchange->head.headers.value("Request-Id"));
    endpoint.accepted.insert(id);
    m_checker.requestAccepted(id, core::EndpointId(endpoint.fake->id));
}

void Endpoints::resume(Endpoint &endpoint)
{
    endpoint.fake->resume();
    endpoint.accepted.clear();
    for (const auto &work : std::exchange(endpoint.held, {}))
        work();
}

double Endpoints::refusalShareOf(const std::string &service) const
{
    const auto refusal = m_refusals.find(service);
    const bool isRefusing = refusal != m_refusals.end() && m_schedule.now() < refusal->second.until;
    return isRefusing ? refusal->second.share : faultShare;
}

void Endpoints::send(Endpoint &endpoint, std::function<void()> work)
{
    if (endpoint.fake->isPaused())
        endpoint.held.push_back(std::move(work));
    else
        work();
}

void Endpoints::sendAfter(Endpoint &endpoint, core::Duration delay, std::function<void()> work)
{
    m_schedule.after(
        delay, [&endpoint, work = std::move(work)]() mutable { send(endpoint, std::move(work)); });
}

core::Duration Endpoints::pauseOf(const Stream &stream) const
{
    if (!isLongStream(stream.begunBy))
        return stream.pause;
    const int events = eventCount(stream.begunBy);
    if (m_pace == StreamPace::Usual)
        return stream.usualTime / events;
    return (m_pace == StreamPace::Quick ? quickTime : stream.slowedTime) / events;
}

void Endpoints::startStream(Endpoint &endpoint, const Exchange &exchange, const core::RequestId &id)
{
    static const std::vector<std::string> ends {
        "stream ends before its first event", "stream breaks off midway",
        "stream breaks off inside an event", "stream stalls"};
    const std::string after = exchange->head.headers.value("Last-Event-Id");
    const auto stream = std::make_shared<Stream>();
    stream->endpoint = &endpoint;
    stream->exchange = exchange;
    stream->id = id;
    const std::string begunBy = exchange->head.headers.value("Resumes");
    stream->begunBy = begunBy.empty() ? id : core::RequestId(begunBy);
    stream->softwareVersion = endpoint.fake->softwareVersion;
    stream->next = after.empty() ? 1 : std::stoi(after) + 1;
    stream->last = eventCount(stream->begunBy);
    stream->pause = m_random.duration(milliseconds(5), milliseconds(50));
    stream->usualTime = m_random.duration(milliseconds(2000), milliseconds(3000));
    stream->slowedTime = m_random.chance(slowedShare)
        ? m_random.duration(milliseconds(3000), milliseconds(5500))
        : quickTime;
    if (stream->next <= stream->last && m_random.chance(faultShare * 3)) {
        stream->end = ends[static_cast<std::size_t>(m_random.number(0, 3))];
        ++m_faults["endpoint: " + stream->end];
        m_checker.answerInterrupted(id, core::EndpointId(endpoint.fake->id));
        const int first = stream->next;
        stream->last
            = stream->end == ends[0] ? first - 1 : m_random.number(first, stream->last) - 1;
    }
    exchange->startChunked(200, answerHeaders(endpoint, id, 200));
    continueStream(stream);
}

void Endpoints::continueStream(const std::shared_ptr<Stream> &stream)
{
    if (stream->endpoint->fake->isPaused()) {
        send(*stream->endpoint, [this, stream] { continueStream(stream); });
        return;
    }
    if (!stream->exchange->isOpen())
        return;
    if (stream->next > stream->last) {
        endStream(*stream);
        return;
    }
    core::Duration pause = pauseOf(*stream);
    const bool isLong = isLongStream(stream->begunBy);
    const int joined = isLong ? 0 : m_random.number(0, maxJoinedEvents - 1);
    const int last = std::min(stream->last, stream->next + joined);
    const std::string text
        = expectedEvents(stream->begunBy, stream->next, last, stream->softwareVersion);
    stream->next = last + 1;
    // The pieces arrive one by one, cut anywhere, also within an event's field.
    const auto cut
        = static_cast<std::size_t>(m_random.number(1, static_cast<int>(text.size()) - 1));
    stream->exchange->writeChunk(text.substr(0, cut));
    sendAfter(*stream->endpoint, std::min<core::Duration>(pause / 2, milliseconds(10)),
              [exchange = stream->exchange, rest = text.substr(cut)] {
                  if (exchange->isOpen())
                      exchange->writeChunk(rest);
              });
    if (!isLong && m_random.chance(faultShare)) {
        ++m_faults["endpoint: slow event"];
        pause = m_random.duration(milliseconds(300), milliseconds(700));
    }
    m_schedule.after(pause, [this, stream] { continueStream(stream); });
}

void Endpoints::endStream(const Stream &stream)
{
    if (stream.end.empty()) {
        stream.exchange->finishChunked();
        return;
    }
    if (stream.end == "stream stalls")
        return;
    if (stream.end == "stream breaks off inside an event") {
        const std::string text
            = expectedEvents(stream.begunBy, stream.next, stream.next, stream.softwareVersion);
        const int cut = m_random.number(1, static_cast<int>(text.size()) - 1);
        stream.exchange->writeChunk(text.substr(0, static_cast<std::size_t>(cut)));
    }
    stream.exchange->abort();
}

} // namespace jackdawlead::soak
