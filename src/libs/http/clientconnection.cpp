#include "http/clientconnection.h"

#include <atomic>
#include <charconv>
#include <utility>

namespace jackdawlead::http {

namespace {

// Allows for late responses to earlier requests. The limit ends the exchange with a peer that sends
// other bytes without end before the awaited response.
constexpr std::size_t maxSkippedBytes = 1024 * 1024;

ConnectionNumber nextNumber()
{
    static std::atomic<std::uint64_t> last = 0;
    return ConnectionNumber {++last};
}

} // namespace

ClientConnection::ClientConnection(net::EventLoop &loop, const net::Address &peer,
                                   core::Duration connectTimeout)
    : m_number(nextNumber())
    , m_connection(loop, peer, connectTimeout)
    , m_parser(MessageParser::Kind::Response)
{
    m_connection.setHandlers({
        .onConnected =
            [this] {
                if (!m_pendingRequest.empty())
                    m_connection.write(std::exchange(m_pendingRequest, {}));
                reportConnect(true);
            },
        .onData = [this] { handleData(); },
        .onDrained = {},
        .onClosed = [this](CloseReason reason) { handleClosed(reason); },
    });
}

void ClientConnection::send(const OutgoingRequest &request, ExchangeObserver observer)
{
    m_isBusy = true;
    ++m_exchangeCount;
    m_isReusable = false;
    m_isHeadDelivered = false;
    m_hasBody = false;
    m_isSkipping = false;
    m_skippedBytes = 0;
    m_isHeadRequest = request.isHead;
    m_idField = request.idField;
    m_id = request.id;
    m_observer = std::move(observer);
    m_parser.reset(m_isHeadRequest);
    // Nothing is written before the connection is open, so that a failed connect certainly has not
    // sent the request.
    if (m_connection.isConnected())
        m_connection.write(request.bytes);
    else
        m_pendingRequest = request.bytes;
}

void ClientConnection::handleData()
{
    const auto alive = m_isAlive;
    if (!m_isBusy) {
        m_isReusable = false;
        if (m_onIdleEnd)
            m_onIdleEnd();
        return;
    }
    while (*alive && m_isBusy) {
        const std::string_view bytes = m_connection.received();
        if (bytes.empty() && !m_parser.isComplete())
            return;
        const std::size_t consumed = m_parser.feed(bytes);
        m_connection.consume(consumed);
        if (m_parser.failure() != MessageParser::Failure::None) {
            end(ExchangeEnd::Malformed);
            return;
        }
        if (!m_parser.isHeadComplete())
            return;
        if (skipOtherResponse(consumed)) {
            if (m_skippedBytes <= maxSkippedBytes)
                continue;
            end(ExchangeEnd::Malformed);
            return;
        }
        if (!m_isHeadDelivered) {
            m_isHeadDelivered = true;
            parseIdleTimeout();
            m_observer.onHead(m_parser.head());
            if (!*alive)
                return;
        }
        deliverBody();
        if (!*alive || !m_isBusy)
            return;
        if (m_parser.isComplete()) {
            // Bytes after the response belong to no request, so the connection is not reused. Nor
            // is one whose response has no id: a second copy of it could not be told from the
            // response to the next request.
            m_isReusable = m_hasOwnId && m_parser.head().keepAlive && !m_parser.isCloseDelimited()
                && m_connection.received().empty() && m_connection.pendingOutput() == 0;
            m_endedWithEmptySuccess = m_parser.head().status == 200 && !m_hasBody;
            end(ExchangeEnd::Complete);
            return;
        }
    }
}

// Reads interim responses and responses to other requests to their end and drops them.
bool ClientConnection::skipOtherResponse(std::size_t consumed)
{
    const MessageHead &head = m_parser.head();
    if (!m_isHeadDelivered && !m_isSkipping) {
        const bool isInterim = head.status >= 100 && head.status < 200;
        const std::string id = m_idField.empty() ? std::string() : head.headers.value(m_idField);
        const bool hasOtherId = !m_idField.empty() && id != m_id;
        const bool isFailureWithoutId = id.empty() && head.status >= 300;
        m_isSkipping = isInterim || (hasOtherId && !isFailureWithoutId);
        m_hasOwnId = !hasOtherId;
    }
    if (!m_isSkipping)
        return false;
    m_skippedBytes += consumed;
    m_parser.takeBody();
    if (m_parser.isComplete()) {
        m_isSkipping = false;
        m_parser.reset(m_isHeadRequest);
    }
    return true;
}

void ClientConnection::deliverBody()
{
    if (m_parser.bufferedBodyBytes() == 0)
        return;
    m_hasBody = true;
    m_observer.onBody(m_parser.takeBody());
}

void ClientConnection::handleClosed(CloseReason reason)
{
    if (!m_isBusy) {
        m_isReusable = false;
        reportConnect(false);
        if (m_onIdleEnd)
            m_onIdleEnd();
        return;
    }
    const auto alive = m_isAlive;
    if (reason == CloseReason::ConnectFailed) {
        end(ExchangeEnd::ConnectFailed);
        return;
    }
    if (reason == CloseReason::EndOfStream && m_isHeadDelivered && m_parser.isCloseDelimited()) {
        m_parser.finish();
        deliverBody();
        if (*alive && m_isBusy)
            end(m_parser.isComplete() ? ExchangeEnd::CompleteAtClose : ExchangeEnd::Broken);
        return;
    }
    end(ExchangeEnd::Broken);
}

void ClientConnection::reportConnect(bool isConnected)
{
    if (const auto handler = std::exchange(m_onConnect, nullptr))
        handler(isConnected);
}

void ClientConnection::parseIdleTimeout()
{
    constexpr std::string_view parameter = "timeout=";
    const std::string value = m_parser.head().headers.value("Keep-Alive");
    const std::size_t at = value.find(parameter);
    if (at == std::string::npos)
        return;
    int seconds = 0;
    const char *begin = value.data() + at + parameter.size();
    if (std::from_chars(begin, value.data() + value.size(), seconds).ec == std::errc())
        m_idleTimeout = std::chrono::seconds(seconds);
}

void ClientConnection::abandon()
{
    m_isBusy = false;
    m_isReusable = false;
    // The connection may still open before it is destroyed, and then writes the pending request.
    m_pendingRequest.clear();
    m_observer = {};
    m_onIdleEnd = nullptr;
}

void ClientConnection::end(ExchangeEnd end)
{
    m_isBusy = false;
    const auto onEnd = std::move(m_observer.onEnd);
    m_observer = {};
    onEnd(end);
}

} // namespace jackdawlead::http
