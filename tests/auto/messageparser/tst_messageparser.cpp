#include "http/messageparser.h"

#include <criterion/criterion.h>

using namespace jackdawlead::http;

namespace {

// Feeds all bytes and returns those after the message.
std::string_view feedAll(MessageParser &parser, std::string_view bytes)
{
    bytes.remove_prefix(parser.feed(bytes));
    return bytes;
}

} // namespace

// Guards against bytes of the next message being taken for the body of this one.
Test(messageparser, parserStopsAtTheEndOfTheMessage)
{
    MessageParser parser(MessageParser::Kind::Request);
    const auto remaining
        = feedAll(parser, "POST /a/ HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /b/ HTTP");
    cr_assert(parser.isComplete());
    cr_assert_eq(parser.takeBody(), "abc");
    cr_assert_eq(remaining, "GET /b/ HTTP");
}

// Guards against request smuggling with a Content-Length beside a chunked body.
Test(messageparser, lengthWithChunkedEncodingIsRejected)
{
    MessageParser parser(MessageParser::Kind::Request);
    feedAll(parser,
            "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    cr_assert_eq(parser.failure(), MessageParser::Failure::Malformed);
}

// Guards against request smuggling with two lengths, of which two parsers choose different ones.
Test(messageparser, conflictingLengthsAreRejected)
{
    MessageParser parser(MessageParser::Kind::Request);
    feedAll(parser, "POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde");
    cr_assert_neq(parser.failure(), MessageParser::Failure::None);
}

// Guards against trailers that replace or add header fields.
Test(messageparser, trailersAreDropped)
{
    MessageParser parser(MessageParser::Kind::Response);
    feedAll(parser,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "2\r\nab\r\n0\r\nResponse-Stamp: forged\r\n\r\n");
    cr_assert(parser.isComplete());
    cr_assert_eq(parser.takeBody(), "ab");
    cr_assert_not(parser.head().headers.contains("Response-Stamp"));
}

// Guards against a folded header line that becomes a line of its own when it is forwarded.
Test(messageparser, foldedValueHasNoLineBreak)
{
    MessageParser parser(MessageParser::Kind::Response);
    feedAll(parser, "HTTP/1.1 200 OK\r\nA: one\r\n two\r\nContent-Length: 0\r\n\r\n");
    cr_assert(parser.isHeadComplete());
    const std::string value = parser.head().headers.value("A");
    cr_assert_eq(value.find('\n'), std::string::npos);
    cr_assert_eq(value.find('\r'), std::string::npos);
}

// Guards against a response without length that counts as complete before its connection closes,
// and against a truncated response with length that counts as complete when it closes.
Test(messageparser, closeCompletesOnlyResponsesWithoutLength)
{
    MessageParser unframed(MessageParser::Kind::Response);
    feedAll(unframed, "HTTP/1.1 200 OK\r\n\r\nabc");
    cr_assert_not(unframed.isComplete());
    cr_assert(unframed.isCloseDelimited());
    unframed.finish();
    cr_assert(unframed.isComplete());

    MessageParser framed(MessageParser::Kind::Response);
    feedAll(framed, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    framed.finish();
    cr_assert_not(framed.isComplete());
    cr_assert_neq(framed.failure(), MessageParser::Failure::None);
}

// Guards against a client that exhausts the daemon's memory with header fields or a body.
Test(messageparser, oversizedHeaderAndBodyAreRejected)
{
    MessageParser parser(MessageParser::Kind::Request);
    parser.setLimits({.headerBytes = 64, .bodyBytes = 8});
    feedAll(parser, "GET / HTTP/1.1\r\nA: " + std::string(100, 'x') + "\r\n\r\n");
    cr_assert_eq(parser.failure(), MessageParser::Failure::HeaderTooLarge);
    parser.reset();
    feedAll(parser, "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n");
    cr_assert_eq(parser.failure(), MessageParser::Failure::BodyTooLarge);
    parser.reset();
    feedAll(parser,
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n");
    cr_assert_eq(parser.failure(), MessageParser::Failure::BodyTooLarge);
}

// Guards against a different result for a message that arrives one byte at a time.
Test(messageparser, messageIsParsedByteByByte)
{
    MessageParser parser(MessageParser::Kind::Response);
    const std::string text = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\nno";
    for (const char byte : text)
        cr_assert_eq(parser.feed({&byte, 1}), 1U);
    cr_assert(parser.isComplete());
    cr_assert_eq(parser.head().status, 503);
    cr_assert_eq(parser.head().headers.value("not-executed"), "1");
    cr_assert_eq(parser.takeBody(), "no");
}
