#include "core/boundedjson.h"
#include "platform/decoder.h"
#include "platform/endpointcodec.h"
#include "platform/settingsreader.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::platform;

namespace {

constexpr char settingsText[] = "node=h1\nzone=z1\nregion=r1\nzones.z1=r1\nzones.z2=r2\n"
                                "listen.front=10.0.0.1:80\nlisten.ready=10.0.0.1:81\n"
                                "internal_ports=7380,7395\nplatform.address=10.0.0.9:8142\n"
                                "bounds.stable_window_ms=4000\nbounds.drain_ms=3000\n"
                                "bounds.grace_s=8\nbounds.config_ms=3000\nbounds.version_ms=5000\n"
                                "bounds.lease_ms=3000\nbounds.budget_window_s=10\n"
                                "bounds.budget_ratio=0.2\nbounds.budget_slack=54\n"
                                "something.new=1\n";

std::string without(std::string text, const std::string &line)
{
    text.erase(text.find(line), line.size() + 1);
    return text;
}

http::MessageHead headWith(net::Headers headers)
{
    http::MessageHead head;
    head.method = "POST";
    head.target = "/a/b?c=d";
    head.headers = std::move(headers);
    return head;
}

const nlohmann::json endpointSpec {{"service", "s"}, {"address", "10.0.0.2:80"}, {"zone", "z1"},
                                   {"slots", 32},    {"state", "ready"},         {"born", 17},
                                   {"seq", 4}};

} // namespace

// Guards against the rejection of a settings file of a later version of the platform.
Test(settingsreader, unknownSettingIsIgnored)
{
    const auto settings = readSettings(settingsText);
    cr_assert(settings.ok());
    cr_assert_eq(settings->callerAddress.port, 80);
    cr_assert_eq(settings->lastPeerPort, 7395);
    cr_assert(settings->bounds.grace == std::chrono::seconds(8));
    cr_assert_eq(settings->regions.at(core::FailureDomainId("z2")).value(), "r2");
}

// Guards against a start with incomplete settings, and against a message that reports only the
// first error.
Test(settingsreader, everyInvalidSettingIsReported)
{
    std::string text = without(settingsText, "zone=z1");
    text = without(text, "bounds.drain_ms=3000") + "bounds.drain_ms=soon\n";
    text = without(text, "listen.front=10.0.0.1:80") + "listen.front=here\n";
    const auto settings = readSettings(text);
    cr_assert_not(settings.ok());
    const std::string message(settings.status().message());
    cr_assert_neq(message.find("zone: missing"), std::string::npos);
    cr_assert_neq(message.find("bounds.drain_ms: 'soon'"), std::string::npos);
    cr_assert_neq(message.find("listen.front: 'here'"), std::string::npos);
}

// Guards against retries of requests that must run at most once, including those of unknown kinds.
Test(decoder, onlyIdempotentRoutesAndResumableStreamsAreRepeatable)
{
    const auto isRepeatable = [](const char *kind, bool isResumable) {
        const nlohmann::json spec {{"version", 3},
                                   {"services", nlohmann::json::array()},
                                   {"routes",
                                    {{{"name", "r"},
                                      {"host", "h"},
                                      {"path_prefix", "/"},
                                      {"kind", kind},
                                      {"timeout_ms", 1000},
                                      {"service", "s"},
                                      {"resumable", isResumable}}}}};
        const auto configuration = decodeConfiguration(spec);
        cr_assert(configuration.ok());
        return configuration->routes[0].isRepeatable();
    };
    cr_assert(isRepeatable("idempotent", false));
    cr_assert(isRepeatable("stream", true));
    cr_assert_not(isRepeatable("stream", false));
    cr_assert_not(isRepeatable("non_idempotent", true));
    cr_assert_not(isRepeatable("of_next_year", true));
}

// Guards against requests to endpoints from malformed entries of other writers.
Test(decoder, malformedEndpointIsRejected)
{
    cr_assert(decodeEndpoint("e", endpointSpec).ok());
    for (const char *field : {"service", "address", "zone", "slots", "state"}) {
        nlohmann::json spec = endpointSpec;
        spec.erase(field);
        cr_assert_not(decodeEndpoint("e", spec).ok(), "without %s", field);
        spec[field] = nlohmann::json::array({1});
        cr_assert_not(decodeEndpoint("e", spec).ok(), "wrong type of %s", field);
    }
    nlohmann::json spec = endpointSpec;
    spec["state"] = "resting";
    cr_assert_not(decodeEndpoint("e", spec).ok());
    spec["state"] = "ready";
    spec["address"] = "10.0.0.2";
    cr_assert_not(decodeEndpoint("e", spec).ok());
    cr_assert_not(decodeEndpoint("e", nlohmann::json("text")).ok());
    cr_assert_not(decodeEndpoint("e", nlohmann::json()).ok());
}

// Guards against a client that sets fields which only the system may set, and against forwarding
// the fields that its Connection field lists.
Test(endpointcodec, systemAndHopByHopFieldsAreDropped)
{
    const auto head = headWith({{"Host", "h"},
                                {"Request-Id", "7"},
                                {"Hold", "x"},
                                {"Pin-Ms", "9"},
                                {"Kv-From", "10.0.0.1:1/2"},
                                {"Kv-Backup", "10.0.0.1:1"},
                                {"expect-instance", "other"},
                                {"Request-Priority", "0"},
                                {"Connection", "close, X-Own"},
                                {"X-Own", "1"},
                                {"Keep-Alive", "timeout=5"},
                                {"X-Kept", "yes"}});
    ForwardFields fields;
    fields.endpoint = core::EndpointId("e1");
    fields.deadline = std::chrono::milliseconds(750);
    const std::string text = formatForwardedRequest(head, "body", fields);
    for (const char *name : {"Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "other", "Request-Priority",
                             "X-Own", "Keep-Alive", "close"})
        cr_assert_eq(text.find(name), std::string::npos, "%s", name);
    for (const char *part : {"POST /a/b?c=d HTTP/1.1\r\n", "Request-Id: 7\r\n", "X-Kept: yes\r\n",
                             "Expect-Instance: e1\r\n", "Deadline-Ms: 750\r\n"})
        cr_assert_neq(text.find(part), std::string::npos, "%s", part);
}

// Guards against a request that waited on its way and keeps its whole deadline, and against a
// change to any other byte of it.
Test(endpointcodec, deadlineOfAFormattedRequestIsShortened)
{
    using std::chrono::milliseconds;
    const std::string body = "a\r\nDeadline-Ms: 9000\r\n\r\n";
    ForwardFields fields;
    fields.endpoint = core::EndpointId("e1");
    fields.adapterVersion = 7;
    const auto formatted = [&](int deadline) {
        fields.deadline = milliseconds(deadline);
        return formatForwardedRequest(headWith({{"Deadline-Ms", "5000"}, {"Host", "h"}}), body,
                                      fields);
    };
    std::string request = formatted(1750);
    cr_expect(shortenDeadline(request, milliseconds(1000)));
    cr_expect(request == formatted(750));
    cr_expect(shortenDeadline(request, milliseconds(749)));
    cr_expect(request == formatted(1));
    for (const int by : {750, 751, 60'000}) {
        request = formatted(750);
        cr_expect_not(shortenDeadline(request, milliseconds(by)), "%d", by);
        cr_expect(request == formatted(750));
    }
    const std::string without = "POST / HTTP/1.1\r\nHost: h\r\n\r\n" + body;
    request = without;
    cr_expect(shortenDeadline(request, milliseconds(750)));
    cr_expect(request == without);
}

// Guards against a retried stream that repeats events which the client already received.
Test(endpointcodec, retriedStreamResumesAfterTheLastEvent)
{
    const auto head = headWith({{"Last-Event-Id", "3"}, {"Host", "h"}});
    ForwardFields fields;
    fields.lastEventId = 17;
    const std::string text = formatForwardedRequest(head, {}, fields);
    cr_assert_neq(text.find("Last-Event-Id: 17\r\n"), std::string::npos);
    cr_assert_eq(text.find("Last-Event-Id: 3"), std::string::npos);
}

// Guards against retrying a request that an endpoint may have run before it failed.
Test(endpointcodec, onlyExplicitRefusalCountsAsNotRun)
{
    http::MessageHead head;
    head.status = 503;
    cr_assert_not(parseResponseTraits(head).isNotRun);
    head.headers.add("Not-Executed", "1");
    cr_assert(parseResponseTraits(head).isNotRun);
    http::MessageHead misdirected;
    misdirected.status = 421;
    cr_assert(parseResponseTraits(misdirected).isNotRun);
    cr_assert(parseResponseTraits(misdirected).isMisdirected);
    misdirected.headers.add("Response-Stamp", "x");
    cr_assert_not(parseResponseTraits(misdirected).isNotRun);
}

// Guards against requests to an endpoint during its back-off, and against a back-off because of a
// malformed or unlimited value.
Test(endpointcodec, retryAfterIsReadFromStatus503Only)
{
    const auto retryAfterOf = [](int status, const std::string &value) {
        http::MessageHead head;
        head.status = status;
        head.headers.add("Retry-After", value);
        return parseResponseTraits(head).retryAfter;
    };
    using std::chrono::milliseconds;
    cr_assert(retryAfterOf(503, "2") == core::Duration(std::chrono::seconds(2)));
    cr_assert(retryAfterOf(503, "0.25") == core::Duration(milliseconds(250)));
    cr_assert(retryAfterOf(503, "1e9") == core::Duration(std::chrono::minutes(5)));
    for (const char *value : {"", "-1", "0", "soon", "nan", "inf", "Fri, 04 Dec 2026 12:00:00 GMT"})
        cr_assert_not(retryAfterOf(503, value).has_value(), "%s", value);
    cr_assert_not(retryAfterOf(200, "2").has_value());
    cr_assert_not(retryAfterOf(429, "2").has_value());
    cr_assert_not(parseResponseTraits(http::MessageHead()).retryAfter.has_value());
}

// Guards against requests to a leaving endpoint, and against taking an endpoint for leaving because
// another one that has its address now announces it.
Test(endpointcodec, leavingIsReadFromOwnResponsesOnly)
{
    const core::EndpointId endpoint("i-1");
    cr_assert(announcesLeaving({{"Server-Leaving", "1"}}, endpoint));
    cr_assert(announcesLeaving({{"server-leaving", "1"}, {"Instance-Id", "i-1"}}, endpoint));
    cr_assert_not(announcesLeaving({{"Server-Leaving", "1"}, {"Instance-Id", "i-2"}}, endpoint));
    for (const char *value : {"", "0", "true", "-1", "11"})
        cr_assert_not(announcesLeaving({{"Server-Leaving", value}}, endpoint), "%s", value);
    cr_assert_not(announcesLeaving({}, endpoint));
}

// Guards against a limit that is not recognized, against one that is taken from a malformed field,
// and against the limit of another endpoint that has the address now.
Test(endpointcodec, requestLimitIsReadFromOwnResponsesOnly)
{
    const core::EndpointId endpoint("i-1");
    const auto limitOf
        = [&](const net::Headers &headers) { return parseRequestLimit(200, headers, endpoint); };
    cr_assert_eq(limitOf({{"Server-Limit", "1.5"}}).rate->perSecond, 1.5);
    cr_assert_eq(limitOf({{"server-limit", "2"}, {"Instance-Id", "i-1"}}).rate->perSecond, 2.0);
    cr_assert_eq(limitOf({{"Server-Limit", "0"}}).rate->perSecond, 0.0);
    cr_assert_eq(limitOf({{"Server-Limit", "1e300"}}).rate->perSecond, 1e6);
    for (const char *value : {"", "-1", "soon", "nan", "inf", "1 2", "1,5"}) {
        const AnnouncedLimit limit = limitOf({{"Server-Limit", value}});
        cr_assert_not(limit.rate.has_value(), "%s", value);
        cr_assert(limit.isMalformed, "%s", value);
    }
    const AnnouncedLimit several
        = limitOf({{"Server-Limit", "x"}, {"Server-Limit", "3"}, {"server-limit", "2"}});
    cr_assert_eq(several.rate->perSecond, 2.0);
    cr_assert_not(several.isMalformed);
    const AnnouncedLimit other = limitOf({{"Server-Limit", "1"}, {"Instance-Id", "i-2"}});
    cr_assert_not(other.rate.has_value());
    cr_assert_not(other.isMalformed);
    cr_assert_not(limitOf({}).rate.has_value());
    cr_assert_not(parseRequestLimit(421, {{"Server-Limit", "1"}}, endpoint).rate.has_value());
    cr_assert_eq(parseRequestLimit(421, {{"Server-Limit", "1"}, {"Instance-Id", "i-1"}}, endpoint)
                     .rate->perSecond,
                 1.0);
}

// Guards against parts of prompts that are taken for different ones because of their notation, and
// against memory that grows with malformed or endless lists.
Test(platformformats, promptPartsAreNormalizedAndBounded)
{
    const auto partsOf = [](const std::string &prefix) {
        http::MessageHead head;
        head.headers.add("Prompt-Prefix", prefix);
        std::vector<std::string> parts;
        for (const core::PromptPartId &part : parseRequestFields(head).promptParts)
            parts.push_back(part.value());
        return parts;
    };
    using Parts = std::vector<std::string>;
    cr_assert(partsOf("5c1e07a2:800,91bd3f06:410") == (Parts {"5c1e07a2", "91bd3f06"}));
    cr_assert(partsOf(" 005C1E07A2 : 800 , 0:1") == (Parts {"5c1e07a2", "0"}));
    cr_assert(partsOf("").empty());
    cr_assert(partsOf(",:5,xyz:1,-1:2," + std::string(200, 'f') + ":1").empty());
    std::string endless = "a:1";
    for (int number = 0; number < 1000; ++number)
        endless += ",a:1";
    cr_assert_eq(partsOf(endless).size(), 64U);
}

// Guards against an entry whose name would end the field that names the endpoint in requests, and
// begin another field or a request.
Test(decoder, endpointWithANameThatNoFieldCanHoldIsRejected)
{
    for (const char *name : {"", " i", "i ", "\ti", "i\r\nHold: 1", "i\n", "i\x7F", "i\x01"})
        cr_expect_not(decodeEndpoint(name, endpointSpec).ok(), "%s", name);
    cr_expect_not(decodeEndpoint(std::string("i\0j", 3), endpointSpec).ok());
    for (const char *name : {"i-7f3a91c2", "a&b+c#d%41 e?f/g", "i\xC3\xA9", "i\tj"})
        cr_expect(decodeEndpoint(name, endpointSpec).ok(), "%s", name);
}

// Guards against connections to a port of the daemon's own machine, which an address that is no
// number stood for.
Test(decoder, addressThatIsNoNumberIsRejected)
{
    for (const char *address :
         {"runner:80", "127.0.0.1.5:80", "10.0.0:80", "::1:80", " 10.0.0.2:80",
          "10.0.0.2\r\nX: 1:80", "10.0.0.2:", "10.0.0.2:80 ", ":80"}) {
        nlohmann::json spec = endpointSpec;
        spec["address"] = address;
        cr_expect_not(decodeAddress(address).ok(), "%s", address);
        cr_expect_not(decodeEndpoint("i", spec).ok(), "%s", address);
    }
    cr_expect(decodeAddress("10.0.0.2:80").ok());
}

// Guards against a list that was cut off and is taken for a whole one that is shorter.
Test(boundedjson, beginOfAListIsNotClosed)
{
    const std::string whole
        = R"( {"current_rev":9,"has_more":false,"items":[{"a":"]}"},{"b":[2,{}]},[],3]} )";
    cr_assert(core::isClosed(whole));
    const std::size_t end = whole.rfind('}');
    for (std::size_t size = 0; size <= end; ++size)
        cr_expect_not(core::isClosed(std::string_view(whole).substr(0, size)), "%zu bytes", size);
    cr_expect_not(core::isClosed(R"({"a":1}})"));
}
