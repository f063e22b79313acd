#include "gateway/peermessages.h"
#include "support/earliermessages.h"

#include <absl/strings/escaping.h>

#include <criterion/criterion.h>

#include <string>

using namespace jackdawlead;
using namespace jackdawlead::gateway;

namespace {

using std::chrono::milliseconds;

const core::TimePoint now {std::chrono::seconds(100)};
const fleet::AdapterKey key {core::ModelId("m"), core::AdapterId("a-1.b")};

} // namespace

// Guards against report fields that are lost or changed between encoding and decoding.
Test(peermessages, encodedReportIsDecodedUnchanged)
{
    PeerReport report;
    report.host = core::HostId("h1");
    report.domain = core::FailureDomainId("z1");
    report.region = core::RegionId("r1");
    report.availableCores = 0.25;
    report.peerAddress = "10.0.0.1:7020";
    report.load[core::EndpointId("i-1")] = 2.5;
    report.load[core::EndpointId("i-2")] = 0.1;
    report.inUse[core::EndpointId("i-1")] = {key};
    report.demand[key] = 3;
    report.pinned = {{key, core::SoftwareVersion("v1")}, {key, core::SoftwareVersion("v2")}};
    report.placementMisses[core::EndpointId("i-2")]
        = {key, {core::ModelId("m"), core::AdapterId("a8")}};
    report.unreachable.push_back(core::EndpointId("i-3"));
    report.endpointsInBackoff.push_back(core::EndpointId("i-4"));
    report.leaving[core::EndpointId("i-5")] = milliseconds(1733300000123);
    report.knownRevision = 17;
    report.sendsForOthers = false;
    report.token = core::FencingToken(4);
    report.waiting[key] = {2, 1, now + milliseconds(300)};
    report.waiting[{core::ModelId("other"), core::AdapterId("a2")}] = {0, 4, now};
    report.endpoints = EndpointsDigest {77};
    report.limits[core::EndpointId("i-6")]
        = {milliseconds(5), fleet::RequestRate {1.5}, now - milliseconds(40)};
    report.limits[core::EndpointId("i-7")] = {milliseconds(6), std::nullopt, now};
    report.permitDemand[core::EndpointId("i-6")] = {2, 3};
    report.crashes.states = {{core::PromptPartId("p1"), 2, true, 3, {}},
                             {core::PromptPartId("p2"), 4, false, 0, std::chrono::seconds(90)}};
    const auto read = decodePeerReport(encode(report, now), now);
    cr_assert(read.ok());
    cr_assert(read->crashes.states == report.crashes.states);
    cr_assert_eq(read->domain, report.domain);
    cr_assert_not(read->sendsForOthers);
    cr_assert_eq(read->availableCores, 0.25);
    cr_assert(read->load == report.load);
    cr_assert(read->inUse == report.inUse);
    cr_assert(read->demand == report.demand);
    cr_assert(read->pinned == report.pinned);
    cr_assert(read->placementMisses == report.placementMisses);
    cr_assert_eq(read->unreachable.size(), 1U);
    cr_assert(read->endpointsInBackoff == report.endpointsInBackoff);
    cr_assert(read->leaving == report.leaving);
    cr_assert_eq(read->knownRevision, 17U);
    cr_assert_eq(read->token, core::FencingToken(4));
    cr_assert(read->waiting == report.waiting);
    cr_assert(read->endpoints == report.endpoints);
    cr_assert(read->limits == report.limits);
    cr_assert(read->permitDemand == report.permitDemand);
}

// Guards against a field that an earlier release does not send and that is read as "none": requests
// would be sent through daemons that reject them, and the way through the others would be
// forgotten.
Test(peermessages, whatAnEarlierReleaseDoesNotStateIsNotKnown)
{
    const auto message
        = [](const char *cbor) { return std::string("{\"cbor\":\"") + cbor + "\"}"; };
    const auto report = decodePeerReport(message(testsupport::earlier::reportOfE304079), now);
    cr_assert(report.ok());
    cr_expect_eq(report->host, core::HostId("h2"));
    cr_expect_not(report->sendsForOthers);
    const auto view = decodePeerView(message(testsupport::earlier::viewOfE304079), now);
    cr_assert(view.ok());
    cr_expect(view->isCoordinator);
    cr_expect_not(view->forwarders.has_value());
}

// Guards against a daemon that takes the time of another clock for the age of a limit, and against
// lost permits.
Test(peermessages, limitsAndGrantsOfAViewAreDecoded)
{
    PeerView view;
    view.limits[core::EndpointId("i-1")]
        = {milliseconds(5), fleet::RequestRate {0.5}, now - milliseconds(250)};
    view.grants[core::EndpointId("i-1")] = {2, 7};
    view.areIssuingPermits = true;
    view.forwarders = std::vector<std::string> {"10.0.0.3:7020", "10.1.0.4:7020"};
    const core::TimePoint otherClock {std::chrono::hours(5)};
    const auto read = decodePeerView(encode(view, now), otherClock);
    cr_assert(read.ok());
    cr_assert(read->areIssuingPermits);
    cr_assert(read->forwarders == view.forwarders);
    cr_assert(read->grants == view.grants);
    const decisions::EndpointLimit &limit = read->limits.at(core::EndpointId("i-1"));
    cr_assert(limit.rate == fleet::RequestRate {0.5});
    cr_assert(limit.statedAt == otherClock - milliseconds(250));
}

// Guards against adapters that are used before their load has ended because the clocks of daemons
// differ, and against lost removals.
Test(peermessages, viewTimesAreSentAsRemainingTime)
{
    PeerView view;
    view.isCoordinator = true;
    view.since = 3;
    view.revision = 5;
    view.relayAddress = "10.0.0.2:7020";
    view.leaving[core::EndpointId("i-5")] = milliseconds(1733300000123);
    decisions::ContentsChange &change = view.contents[core::EndpointId("i-1")];
    change.isSnapshot = false;
    change.contents.startTime = milliseconds(12345);
    change.contents.models[key.model] = now;
    change.contents.adapters[key] = {7, now + milliseconds(250)};
    change.removals.push_back({key.model, core::AdapterId("gone")});
    const core::TimePoint otherClock {std::chrono::hours(5)};
    const auto read = decodePeerView(encode(view, now), otherClock);
    cr_assert(read.ok());
    cr_assert_eq(read->since, 3U);
    cr_assert_eq(read->relayAddress, view.relayAddress);
    cr_assert(read->leaving == view.leaving);
    const decisions::ContentsChange &received = read->contents.at(core::EndpointId("i-1"));
    cr_assert_not(received.isSnapshot);
    cr_assert(received.contents.startTime == milliseconds(12345));
    cr_assert_eq(received.contents.adapters.at(key).version, 7);
    cr_assert(received.contents.adapters.at(key).usableAt == otherClock + milliseconds(250));
    cr_assert_eq(received.removals.size(), 1U);
}

// Guards against views that consist mostly of endpoint names: each of 195 daemons receives four
// views per second, and those in the other region receive them over an expensive link.
Test(peermessages, loadsInIdOrderAreDecodedAndCompact)
{
    PeerView view;
    std::map<core::EndpointId, fleet::Endpoint> endpoints;
    for (int number = 0; number < 123; ++number) {
        const core::EndpointId id("i-" + std::to_string(1000000 + number));
        endpoints[id] = {};
        view.load[id] = number * 1.3;
        view.loadsInIdOrder.push_back(number * 1.3);
    }
    view.endpoints = digestOf(endpoints);
    const auto read = decodePeerView(encode(view, now), now);
    cr_assert(read.ok());
    cr_assert_eq(read->loadsInIdOrder.size(), 123U);
    for (std::size_t index = 0; index < endpoints.size(); ++index)
        cr_assert_float_eq(read->loadsInIdOrder[index], view.loadsInIdOrder[index], 0.051);
    cr_assert(read->endpoints == digestOf(endpoints));
    PeerView named = view;
    named.loadsInIdOrder.clear();
    view.load.clear();
    cr_assert_lt(encode(view, now).size() * 3, encode(named, now).size());
    // Another set of endpoints has another digest, so that loads are not assigned to wrong
    // endpoints.
    endpoints.erase(endpoints.begin());
    cr_assert(digestOf(endpoints) != view.endpoints);
}

// Guards against a daemon that terminates or uses an incomplete message when a peer sends malformed
// data.
Test(peermessages, malformedMessagesAreErrors)
{
    std::string truncated = encode(PeerReport {}, now);
    truncated.erase(truncated.size() / 2, 8);
    for (const std::string &text :
         {std::string("{}"), std::string("{\"cbor\":\"%%\"}"), std::string("{\"cbor\":\"\"}"),
          std::string("{\"cbor\":7}"), std::string("not JSON"), truncated}) {
        cr_assert_not(decodePeerReport(text, now).ok(), "%s", text.c_str());
        cr_assert_not(decodePeerView(text, now).ok(), "%s", text.c_str());
    }
}

// Guards against a message of a daemon that ends this one by its nesting.
Test(peermessages, deeplyNestedMessageIsMalformed)
{
    constexpr char arrayOfOne = '\x81';
    const std::string bytes(3 * 1000 * 1000, arrayOfOne);
    std::string text;
    absl::Base64Escape(absl::string_view(bytes.data(), bytes.size()), &text);
    cr_assert_not(decodePeerReport(R"({"cbor":")" + text + R"("})", now).ok());
    cr_assert_not(decodePeerView(std::string(1000 * 1000, '['), now).ok());
}
