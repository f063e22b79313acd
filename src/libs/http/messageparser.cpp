#include "http/messageparser.h"

#include "net/guard.h"
#include "net/httpsyntax.h"

#include <utility>

namespace jackdawlead::http {

namespace {

// Positive values have special meanings for on_headers_complete.
constexpr int stopWithError = -1;

MessageParser &self(http_parser *parser)
{
    return *static_cast<MessageParser *>(parser->data);
}

/// Calls `Handler` and catches its exceptions, which must not propagate through the C library.
template <auto Handler, typename... Arguments>
int guarded(http_parser *parser, Arguments... arguments)
{
    int result = stopWithError;
    net::runGuarded("message parser", [&] { result = Handler(parser, arguments...); });
    return result;
}

// A folded header value contains a line break, which would start a new header line when forwarded.
void replaceLineBreaks(std::string &value)
{
    for (char &character : value) {
        if (character == '\r' || character == '\n')
            character = ' ';
    }
}

} // namespace

MessageParser::MessageParser(Kind kind)
    : m_kind(kind)
{
    reset();
}

void MessageParser::reset(bool skipBody)
{
    http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_head = {};
    m_scanner = {};
    m_field.clear();
    m_value.clear();
    m_isInValue = false;
    m_body.clear();
    m_headerBytes = 0;
    m_bodyBytes = 0;
    m_skipBody = skipBody;
    m_hasBegun = false;
    m_isHeadComplete = false;
    m_isComplete = false;
    m_isCloseDelimited = false;
    m_failure = Failure::None;
}

std::size_t MessageParser::feed(std::string_view bytes)
{
    if (bytes.empty() || m_isComplete || m_failure != Failure::None)
        return 0;
    m_hasBegun = true;
    if (m_kind == Kind::Response)
        m_scanner.feed(bytes);
    const std::size_t consumed
        = http_parser_execute(&m_parser, &settings(), bytes.data(), bytes.size());
    const auto error = static_cast<http_errno>(m_parser.http_errno);
    if (error != HPE_OK && error != HPE_PAUSED && m_failure == Failure::None)
        m_failure = error == HPE_HEADER_OVERFLOW ? Failure::HeaderTooLarge : Failure::Malformed;
    if (m_parser.upgrade != 0 && m_failure == Failure::None && !m_isComplete)
        m_failure = Failure::Malformed;
    return consumed;
}

void MessageParser::finish()
{
    if (m_isComplete || m_failure != Failure::None || !m_hasBegun)
        return;
    http_parser_execute(&m_parser, &settings(), nullptr, 0);
    if (!m_isComplete)
        m_failure = Failure::Malformed;
}

std::string MessageParser::takeBody()
{
    return std::exchange(m_body, {});
}

const http_parser_settings &MessageParser::settings()
{
    static const http_parser_settings instance = [] {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_url = &guarded<&MessageParser::onUrl>;
        callbacks.on_header_field = &guarded<&MessageParser::onField>;
        callbacks.on_header_value = &guarded<&MessageParser::onValue>;
        callbacks.on_headers_complete = &guarded<&MessageParser::onHeadersComplete>;
        callbacks.on_body = &guarded<&MessageParser::onBody>;
        callbacks.on_message_complete = &guarded<&MessageParser::onMessageComplete>;
        return callbacks;
    }();
    return instance;
}

int MessageParser::fail(Failure failure)
{
    m_failure = failure;
    return 1;
}

bool MessageParser::countHeaderBytes(std::size_t size)
{
    m_headerBytes += size;
    return m_headerBytes <= m_limits.headerBytes;
}

MessageParser::Failure MessageParser::flushField()
{
    if (m_field.empty())
        return Failure::None;
    if (!net::isFieldName(m_field))
        return Failure::Malformed;
    replaceLineBreaks(m_value);
    m_head.headers.add(std::exchange(m_field, {}), std::exchange(m_value, {}));
    m_isInValue = false;
    return m_head.headers.fields().size() <= m_limits.fields ? Failure::None
                                                             : Failure::HeaderTooLarge;
}

// A folded line may be a spoilt field that told the length.
bool MessageParser::isFramingValid() const
{
    const bool isHeadValid
        = m_kind == Kind::Request || (m_scanner.isStatusLineValid() && !m_scanner.hasFoldedLine());
    return isHeadValid && net::isTransferCodingKnown(m_head.headers);
}

int MessageParser::onUrl(http_parser *parser, const char *data, std::size_t size)
{
    MessageParser &owner = self(parser);
    owner.m_head.target.append(data, size);
    return owner.countHeaderBytes(size) ? 0 : owner.fail(Failure::HeaderTooLarge);
}

int MessageParser::onField(http_parser *parser, const char *data, std::size_t size)
{
    MessageParser &owner = self(parser);
    // Trailers are dropped because they apply to this connection only.
    if (owner.m_isHeadComplete)
        return 0;
    if (owner.m_isInValue) {
        const Failure failure = owner.flushField();
        if (failure != Failure::None)
            return owner.fail(failure);
    }
    owner.m_field.append(data, size);
    return owner.countHeaderBytes(size) ? 0 : owner.fail(Failure::HeaderTooLarge);
}

int MessageParser::onValue(http_parser *parser, const char *data, std::size_t size)
{
    MessageParser &owner = self(parser);
    if (owner.m_isHeadComplete)
        return 0;
    owner.m_isInValue = true;
    owner.m_value.append(data, size);
    return owner.countHeaderBytes(size) ? 0 : owner.fail(Failure::HeaderTooLarge);
}

int MessageParser::onHeadersComplete(http_parser *parser)
{
    MessageParser &owner = self(parser);
    MessageHead &head = owner.m_head;
    owner.m_isHeadComplete = true;
    owner.m_failure = owner.flushField();
    if (owner.m_failure == Failure::None && !owner.isFramingValid())
        owner.m_failure = Failure::Malformed;
    if (owner.m_failure != Failure::None)
        return stopWithError;
    head.isChunked = (parser->flags & F_CHUNKED) != 0;
    head.hasLength = (parser->flags & F_CONTENTLENGTH) != 0;
    head.contentLength = head.hasLength ? parser->content_length : 0;
    head.keepAlive = http_should_keep_alive(parser) != 0;
    if (owner.m_kind == Kind::Request) {
        head.method = http_method_str(static_cast<http_method>(parser->method));
        if (head.contentLength > owner.m_limits.bodyBytes)
            owner.m_failure = Failure::BodyTooLarge;
        return owner.m_failure == Failure::None ? 0 : stopWithError;
    }
    head.status = static_cast<int>(parser->status_code);
    // RFC 9112, 6.3: these responses have no body; others without length or chunks are delimited by
    // the close of the connection.
    const bool hasNoBody = head.status < 200 || head.status == 204 || head.status == 304;
    owner.m_isCloseDelimited
        = !hasNoBody && !head.isChunked && !head.hasLength && !owner.m_skipBody;
    return owner.m_skipBody ? 1 : 0;
}

int MessageParser::onBody(http_parser *parser, const char *data, std::size_t size)
{
    MessageParser &owner = self(parser);
    owner.m_bodyBytes += size;
    if (owner.m_kind == Kind::Request && owner.m_bodyBytes > owner.m_limits.bodyBytes)
        return owner.fail(Failure::BodyTooLarge);
    owner.m_body.append(data, size);
    return 0;
}

int MessageParser::onMessageComplete(http_parser *parser)
{
    MessageParser &owner = self(parser);
    owner.m_isComplete = true;
    parser->upgrade = 0;
    // Pausing prevents the parser from reading the next message into this one.
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace jackdawlead::http
