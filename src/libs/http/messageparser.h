#pragma once

#include "http/headscanner.h"
#include "net/httpmessage.h"

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace jackdawlead::http {

/// The start line and the header fields of a request or a response.
struct MessageHead
{
    std::string method; ///< Empty in a response.
    std::string target; ///< Path and query as received; empty in a response.
    int status = 0;     ///< Zero in a request.
    net::Headers headers;
    bool keepAlive = false; ///< Whether the sender allows reuse of the connection.
    bool isChunked = false;
    bool hasLength = false;
    std::size_t contentLength = 0;

    /// Whether the message itself tells where it ends. The end of the connection delimits other
    /// responses that have a body.
    bool isDelimited() const { return isChunked || hasLength; }
};

/// Parses one HTTP/1.1 message at a time from a byte stream, with http_parser. It stops exactly at
/// the end of the message, so that bytes of the next one are never read as its body. Rejects
/// messages that http_parser accepts although the sender may have meant another end of the body.
/// Thread safety: one thread at a time.
class MessageParser
{
public:
    enum class Kind { Request, Response };
    enum class Failure { None, Malformed, HeaderTooLarge, BodyTooLarge };

    struct Limits
    {
        std::size_t headerBytes = 64 * 1024; ///< Until the configuration is known.
        std::size_t bodyBytes = 4 * 1024 * 1024;
        std::size_t fields = 1000; ///< Even an empty one takes memory.
    };

    explicit MessageParser(Kind kind);
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Starts the next message. `skipBody` is for the response to a HEAD request.
    void reset(bool skipBody = false);
    void setLimits(const Limits &limits) { m_limits = limits; }
    /// Parses bytes up to the end of the message or the first error; returns how many were
    /// consumed.
    std::size_t feed(std::string_view bytes);
    /// Reports the end of the connection, which completes a response without length.
    void finish();

    bool hasBegun() const { return m_hasBegun; }
    bool isHeadComplete() const { return m_isHeadComplete; }
    bool isComplete() const { return m_isComplete; }
    /// Whether the response has neither a length nor chunks, so that the close of the connection
    /// delimits it.
    bool isCloseDelimited() const { return m_isCloseDelimited; }
    Failure failure() const { return m_failure; }
    MessageHead &head() { return m_head; }
    /// Returns the body bytes received since the last call.
    std::string takeBody();
    std::size_t bufferedBodyBytes() const { return m_body.size(); }
    /// Bytes of the head and of the body that are held.
    std::size_t bufferedBytes() const { return m_headerBytes + m_body.capacity(); }

private:
    static int onUrl(http_parser *parser, const char *data, std::size_t size);
    static int onField(http_parser *parser, const char *data, std::size_t size);
    static int onValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &settings();
    /// Ends the current field; returns why the message is rejected, if it is.
    Failure flushField();
    bool isFramingValid() const;
    int fail(Failure failure);
    bool countHeaderBytes(std::size_t size);

    Kind m_kind;
    Limits m_limits;
    http_parser m_parser {};
    MessageHead m_head;
    HeadScanner m_scanner;
    std::string m_field;
    std::string m_value;
    bool m_isInValue = false;
    std::string m_body;
    std::size_t m_headerBytes = 0;
    std::size_t m_bodyBytes = 0;
    bool m_skipBody = false;
    bool m_hasBegun = false;
    bool m_isHeadComplete = false;
    bool m_isComplete = false;
    bool m_isCloseDelimited = false;
    Failure m_failure = Failure::None;
};

} // namespace jackdawlead::http
