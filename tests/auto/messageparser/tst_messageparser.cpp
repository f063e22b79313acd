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

// Feeds a response with a body of three bytes, and the end of its connection.
MessageParser::Failure failureOf(const std::string &statusLine, const std::string &fields)
{
    MessageParser parser(MessageParser::Kind::Response);
    feedAll(parser, statusLine + "\r\nResponse-Stamp: s\r\n" + fields + "\r\n\r\nabc");
    parser.finish();
    return parser.failure();
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

// Guards against a folded header line of a request that becomes a line of its own when it is
// forwarded.
Test(messageparser, foldedValueHasNoLineBreak)
{
    MessageParser parser(MessageParser::Kind::Request);
    feedAll(parser, "GET / HTTP/1.1\r\nA: one\r\n two\r\nContent-Length: 0\r\n\r\n");
    cr_assert(parser.isHeadComplete());
    const std::string value = parser.head().headers.value("A");
    cr_assert_eq(value.find('\n'), std::string::npos);
    cr_assert_eq(value.find('\r'), std::string::npos);
}

// Guards against a response with an invalid status or version that counts as an answer.
Test(messageparser, invalidStatusLinesAreRejected)
{
    for (const char *line :
         {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
          "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1  200 OK", "HTTP/9.9 200 OK",
          "HTTP/0.9 200 OK", "HTTP/2.0 200 OK"})
        cr_expect_eq(failureOf(line, "Content-Length: 3"), MessageParser::Failure::Malformed, "%s",
                     line);
    for (const char *line : {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 599 ", "HTTP/1.1 200",
                             "\r\nHTTP/1.1 200 OK"})
        cr_expect_eq(failureOf(line, "Content-Length: 3"), MessageParser::Failure::None, "%s",
                     line);
}

// Guards against a response whose length is lost with a spoilt line of its head, so that the end of
// its connection or another field seems to delimit its body.
Test(messageparser, responsesWithSpoiltFieldsAreRejected)
{
    for (const char *field : {"Content-Length : 3",
                              "Content Length: 3",
                              " Content-Length: 3",
                              "\tContent-Length: 3",
                              "Content-Length:\r\n 3",
                              "Content-Length: 3\r\n ",
                              "Content-Length 3",
                              "Content-Length: 3 3",
                              "Content-Length:",
                              "X Y: a\r\nContent-Length: 3",
                              "X-Y: a\r\n folded\r\nContent-Length: 3",
                              "X\tY: a\r\nContent-Length: 3",
                              "X\x01Y: a\r\nContent-Length: 3",
                              "no field\r\nContent-Length: 3",
                              "Transfer-Encoding : chunked",
                              "Transfer-Encoding: chonked",
                              "Transfer-Encoding: xchunked",
                              "Transfer-Encoding: chunked, gzip",
                              "Transfer-Encoding: gzip, chunked",
                              "Transfer-Encoding: identity",
                              "Transfer-Encoding:",
                              "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"})
        cr_expect_eq(failureOf("HTTP/1.1 200 OK", field), MessageParser::Failure::Malformed, "%s",
                     field);
    for (const char *field : {"Content-Length: 3", "content-length:3", "X-Y: a b"})
        cr_expect_eq(failureOf("HTTP/1.1 200 OK", field), MessageParser::Failure::None, "%s",
                     field);
}

// Guards against a request that another parser would delimit differently.
Test(messageparser, requestsWithSpoiltFieldsAreRejected)
{
    for (const char *field : {"Content-Length : 0", "Content Length: 0", "X Y: a",
                              "Transfer-Encoding : chunked", "Transfer-Encoding: gzip, chunked"}) {
        MessageParser parser(MessageParser::Kind::Request);
        feedAll(parser, std::string("POST / HTTP/1.1\r\n") + field + "\r\n\r\n0\r\n\r\n");
        cr_expect_eq(parser.failure(), MessageParser::Failure::Malformed, "%s", field);
    }
}

// Guards against a check of the head that depends on how its bytes are split into reads, or that
// continues in the body.
Test(messageparser, headIsCheckedByteByByte)
{
    for (const std::string text :
         {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n\n  x", "HTTP/1.1 200 OK\n\n a\r\n b"}) {
        MessageParser parser(MessageParser::Kind::Response);
        for (const char &character : text)
            parser.feed({&character, 1});
        cr_expect_eq(parser.failure(), MessageParser::Failure::None, "%s", text.c_str());
        cr_expect(parser.isHeadComplete());
    }
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
