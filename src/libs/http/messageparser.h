#pragma once

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
    bool keepAlive = false; ///< Whether the sender lets the connection be used again.
    bool isChunked = false;
    bool hasLength = false;
    std::size_t contentLength = 0;
};

/// Reads one HTTP/1.1 message at a time from a stream of bytes, by http_parser. It stops exactly
/// behind the message, so that bytes of the next one are never taken for its body.
/// Thread safety: one thread at a time.
class MessageParser
{
public:
    enum class Kind { Request, Response };
    enum class Failure { None, Malformed, HeaderTooLarge, BodyTooLarge };

    struct Limits
    {
        std::size_t headerBytes = 64 * 1024; ///< Used until the configuration says otherwise.
        std::size_t bodyBytes = 4 * 1024 * 1024;
    };

    explicit MessageParser(Kind kind);
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Starts the next message. `skipBody` is for the response to a HEAD request.
    void reset(bool skipBody = false);
    void setLimits(const Limits &limits) { m_limits = limits; }
    /// Takes bytes up to the end of the message or the first fault; returns how many were taken.
    std::size_t feed(std::string_view bytes);
    /// Reports the end of the connection. A response without length is complete by it.
    void finish();

    bool hasBegun() const { return m_hasBegun; }
    bool isHeadComplete() const { return m_isHeadComplete; }
    bool isComplete() const { return m_isComplete; }
    /// Whether the response has neither a length nor chunks and ends with its connection.
    bool isCloseDelimited() const { return m_endsWithConnection; }
    Failure failure() const { return m_failure; }
    MessageHead &head() { return m_head; }
    /// The body bytes that were read since the last call.
    std::string takeBody();
    std::size_t bufferedBodyBytes() const { return m_body.size(); }

private:
    static int onUrl(http_parser *parser, const char *data, std::size_t size);
    static int onField(http_parser *parser, const char *data, std::size_t size);
    static int onValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &settings();
    void flushField();
    int fail(Failure failure);
    bool countHeaderBytes(std::size_t size);

    Kind m_kind;
    Limits m_limits;
    http_parser m_parser {};
    MessageHead m_head;
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
    bool m_endsWithConnection = false;
    Failure m_failure = Failure::None;
};

} // namespace jackdawlead::http
