#include "gateway/peermessages.h"
#include "support/earliermessages.h"

#include <absl/strings/escaping.h>

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

#include <cmath>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

using namespace jackdawlead;
using namespace jackdawlead::gateway;

namespace {

using std::chrono::milliseconds;

const core::TimePoint now {std::chrono::seconds(100)};
const fleet::AdapterKey key {core::ModelId("m"), core::AdapterId("a-1.b")};

using nlohmann::json;

std::string messageOf(const std::string &cbor)
{
    return "{\"cbor\":\"" + cbor + "\"}";
}

json contentOf(const std::string &message)
{
    std::string bytes;
    cr_assert(absl::Base64Unescape(json::parse(message).at("cbor").get<std::string>(), &bytes));
    return json::from_cbor(bytes);
}

std::string messageWith(const json &content)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(content);
    const absl::string_view text(reinterpret_cast<const char *>(bytes.data()), bytes.size());
    return messageOf(absl::Base64Escape(text));
}

std::string without(const std::string &message, const std::string &field)
{
    json content = contentOf(message);
    cr_assert_eq(content.erase(field), 1U, "no field %s", field.c_str());
    return messageWith(content);
}

/// Fields of the present message that the earlier one does not have.
std::set<std::string> addedFields(const std::string &present, const std::string &earlier)
{
    const json known = contentOf(earlier);
    const json content = contentOf(present);
    std::set<std::string> fields;
    for (const auto &[field, value] : content.items()) {
        if (!known.contains(field))
            fields.insert(field);
    }
    return fields;
}

/// The fields of the earlier message that a decoder of its release does not find in the present
/// one, or finds with a value of another kind.
std::vector<std::string> incompatibleFields(const std::string &earlier, const std::string &present)
{
    const json required = contentOf(earlier);
    const json content = contentOf(present);
    std::vector<std::string> fields;
    for (const auto &[field, value] : required.items()) {
        const auto found = content.find(field);
        const bool isCompatible = found != content.end()
            && (value.is_number() ? found->is_number() : value.type() == found->type());
        if (!isCompatible)
            fields.push_back(field);
    }
    return fields;
}

void expectFieldsOf(const std::string &earlier, const std::string &present)
{
    for (const std::string &field : incompatibleFields(earlier, present))
        cr_expect(false, "%s is missing or has another kind", field.c_str());
}

PeerView viewWithAllFields()
{
    PeerView view;
    view.isCoordinator = true;
    view.daemonCount = 3;
    view.isCounted = true;
    view.reportPeriod = milliseconds(500);
    view.demandPause = milliseconds(20);
    view.limits[core::EndpointId("i-1")] = {milliseconds(5), fleet::RequestRate {0.5}, now};
    view.grants[core::EndpointId("i-1")] = {2, 7};
    view.areIssuingPermits = true;
    view.forwarders = std::vector<std::string> {"10.0.0.3:7020"};
    return view;
}

PeerReport reportWithQuota()
{
    PeerReport report;
    report.quota = {{milliseconds(1733300000123), core::FencingToken(1UL << 40U), 7, 0.25, {}}};
    report.quota->uses[core::CustomerId("c1")]
        = {1e12 + 0.5, 20, 3, 400.25, 1118, 200, 62877.9, 4470.5, 1118.25};
    report.quota->uses[core::CustomerId("c2")] = {};
    return report;
}

PeerView viewWithQuota()
{
    PeerView view;
    view.quota = {{core::FencingToken(1UL << 40U), 9, 0.125, {}}};
    view.quota->grants[core::CustomerId("c1")] = {1118.5, false, {}};
    view.quota->grants[core::CustomerId("c2")] = {0, true, milliseconds(312)};
    return view;
}

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

// Guards against reports of deployments without customers whose bytes change, and against daemons
// that check keys and are counted among those that do not.
Test(peermessages, reportsStateCustomersOnlyIfThereAreSome)
{
    PeerReport report;
    const std::string unstated = encode(report, now);
    cr_expect_not(decodePeerReport(unstated, now)->understandsCustomers);
    report.understandsCustomers = true;
    const std::string stated = encode(report, now);
    cr_expect(decodePeerReport(stated, now)->understandsCustomers);
    const std::string rest = without(stated, "understandsCustomers");
    cr_expect_str_eq(rest.c_str(), unstated.c_str());
}

// Guards against a field that an earlier release does not send and that is read as "none": requests
// would be sent through daemons that reject them, and the way through the others would be
// forgotten.
Test(peermessages, whatAnEarlierReleaseDoesNotStateIsNotKnown)
{
    const auto report = decodePeerReport(messageOf(testsupport::earlier::reportOfE304079), now);
    cr_assert(report.ok());
    cr_expect_eq(report->host, core::HostId("h2"));
    cr_expect_not(report->sendsForOthers);
    cr_expect_not(report->understandsCustomers);
    const auto view = decodePeerView(messageOf(testsupport::earlier::viewOfE304079), now);
    cr_assert(view.ok());
    cr_expect(view->isCoordinator);
    cr_expect_not(view->forwarders.has_value());
}

// Guards against a new field that the decoder requires: reports and views of daemons that are not
// replaced yet would be malformed in an upgrade.
Test(peermessages, fieldsAddedSinceAnEarlierReleaseAreOptional)
{
    const std::string report = encode(PeerReport {}, now);
    const std::string earlierReport = messageOf(testsupport::earlier::reportOfE304079);
    cr_expect(decodePeerReport(earlierReport, now).ok());
    for (const std::string &field : addedFields(report, earlierReport))
        cr_expect(decodePeerReport(without(report, field), now).ok(), "%s", field.c_str());
    const std::string view = encode(viewWithAllFields(), now);
    const std::string earlierView = messageOf(testsupport::earlier::viewOfE304079);
    cr_expect(decodePeerView(earlierView, now).ok());
    for (const std::string &field : addedFields(view, earlierView))
        cr_expect(decodePeerView(without(view, field), now).ok(), "%s", field.c_str());
    // The comparison finds the fields that are known to be added.
    cr_expect(addedFields(report, earlierReport) == std::set<std::string> {"reachesEndpoints"});
    cr_expect(addedFields(view, earlierView) == std::set<std::string> {"forwarders"});
}

// Guards against a field that is dropped, renamed or gets a value of another kind, though daemons
// of an earlier release require it: they would reject all reports and views in an upgrade.
Test(peermessages, presentMessagesHaveTheFieldsOfAnEarlierRelease)
{
    expectFieldsOf(messageOf(testsupport::earlier::reportOfE304079), encode(PeerReport {}, now));
    expectFieldsOf(messageOf(testsupport::earlier::viewOfE304079),
                   encode(viewWithAllFields(), now));
    // A coordinator that does not state forwarders sends what is required as well.
    expectFieldsOf(messageOf(testsupport::earlier::viewOfE304079), encode(PeerView {}, now));
}

// Guards against a check of compatibility that finds nothing: a field that is dropped and one whose
// kind changes are planted.
Test(peermessages, plantedIncompatibleFieldsAreFound)
{
    const std::string earlier = messageOf(testsupport::earlier::reportOfE304079);
    const std::string present = encode(PeerReport {}, now);
    cr_expect(incompatibleFields(earlier, without(present, "token"))
              == std::vector<std::string> {"token"});
    json changed = contentOf(present);
    changed["host"] = 1;
    cr_expect(incompatibleFields(earlier, messageWith(changed))
              == std::vector<std::string> {"host"});
}

// Guards against an optional field of a report whose absence is taken for a statement.
Test(peermessages, absentFieldsOfAReportClaimNothing)
{
    PeerReport report;
    report.pinned = {{key, core::SoftwareVersion("v1")}};
    report.limits[core::EndpointId("i-1")] = {milliseconds(5), std::nullopt, now};
    report.permitDemand[core::EndpointId("i-1")] = {2, 3};
    report.isViewRequested = false;
    report.crashes.states = {{core::PromptPartId("p1"), 2, true, 3, {}}};
    const auto read = [message = encode(report, now)](const char *field) {
        const auto result = decodePeerReport(without(message, field), now);
        cr_assert(result.ok(), "%s", field);
        return *result;
    };
    // It is sent no requests of others, which it may reject.
    cr_expect_not(read("reachesEndpoints").sendsForOthers);
    cr_expect(read("pinned").pinned.empty());
    // Lifted limits are stated; no statement lifts none.
    cr_expect(read("limits").limits.empty());
    cr_expect(read("permitDemand").permitDemand.empty());
    cr_expect(read("wantsView").isViewRequested);
    cr_expect(read("partStates").crashes.states.empty());
    cr_expect(read("crashEvidence").crashes.evidence.empty());
    cr_expect(read("soundParts").crashes.soundParts.empty());
    cr_expect(read("requestedParts").crashes.requestedParts.empty());
}

// Guards against an optional field of a view whose absence is taken for a statement.
Test(peermessages, absentFieldsOfAViewClaimNothing)
{
    const auto read = [message = encode(viewWithAllFields(), now)](const char *field) {
        const auto result = decodePeerView(without(message, field), now);
        cr_assert(result.ok(), "%s", field);
        return *result;
    };
    cr_expect_not(read("forwarders").forwarders.has_value());
    cr_expect(read("limits").limits.empty());
    cr_expect(read("grants").grants.empty());
    // The daemon keeps to its own share of a limit.
    cr_expect_not(read("issuesPermits").areIssuingPermits);
    cr_expect_eq(read("reportPeriod").reportPeriod, core::Duration::zero());
    cr_expect_eq(read("demandPause").demandPause, core::Duration::zero());
    cr_expect(read("explainedCrashes").crashes.explainedCrashes.empty());
    cr_expect(read("suspectParts").crashes.suspects.empty());
    cr_expect(read("partStates").crashes.states.empty());
}

// Guards against repeated sends beyond the budget: the count of a coordinator that does not state
// whether all daemons reported to it may be too low, and each daemon's share of the slack too high.
Test(peermessages, countOfDaemonsIsNotTakenForCompleteUnlessStated)
{
    const auto view = decodePeerView(without(encode(viewWithAllFields(), now), "isCounted"), now);
    cr_assert(view.ok());
    cr_expect_not(view->isCounted);
}

// Guards against a state of a part of prompts without age, of an earlier release, that is lost or
// makes the whole message malformed.
Test(peermessages, partStateWithoutAgeIsRead)
{
    const auto states = decodeStates(json::parse(R"([["p1",2,true,3]])"));
    cr_assert_eq(states.size(), 1U);
    cr_expect(states.front().isBlocked);
    cr_expect_eq(states.front().age.count(), 0);
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

// Guards against quota fields that are lost or changed between encoding and decoding.
Test(peermessages, quotasAreDecodedUnchanged)
{
    const auto read = decodePeerReport(encode(reportWithQuota(), now), now);
    cr_assert(read.ok());
    cr_expect(read->quota == reportWithQuota().quota);
    const customers::QuotaCall call {core::HostId("h1"), *reportWithQuota().quota};
    const auto readCall = customers::decodeQuotaCall(customers::encode(call));
    cr_assert(readCall.ok());
    cr_expect_eq(readCall->host, call.host);
    cr_expect(readCall->report == call.report);
    const auto view = decodePeerView(encode(viewWithQuota(), now), now);
    cr_assert(view.ok());
    cr_expect(view->quota == viewWithQuota().quota);
    const auto answer = customers::decodeQuotaAnswer(customers::encode(*viewWithQuota().quota));
    cr_assert(answer.ok());
    cr_expect(*answer == *viewWithQuota().quota);
}

// Guards against other bytes in deployments without quotas, and against an absent field that is
// taken for a statement.
Test(peermessages, quotasAreSentOnlyIfThereAreAny)
{
    cr_expect_eq(encode(PeerReport {}, now), without(encode(reportWithQuota(), now), "quota"));
    cr_expect_eq(encode(PeerView {}, now), without(encode(viewWithQuota(), now), "quota"));
    cr_expect_not(decodePeerReport(encode(PeerReport {}, now), now)->quota.has_value());
    cr_expect_not(decodePeerView(encode(PeerView {}, now), now)->quota.has_value());
}

// Guards against an amount that no daemon can mean and that would fill a bucket or never end.
Test(peermessages, impossibleAmountsOfQuotasAreUnknown)
{
    for (const double amount : {-1.0, std::nan(""), HUGE_VAL}) {
        PeerReport report = reportWithQuota();
        report.quota->uses.begin()->second.returnedTotal = amount;
        const auto read = decodePeerReport(encode(report, now), now);
        cr_assert(read.ok(), "%f", amount);
        cr_expect_not(read->quota.has_value(), "%f", amount);
        cr_expect_not(
            customers::decodeQuotaCall(customers::encode({core::HostId("h1"), *report.quota})).ok(),
            "%f", amount);
    }
}

// Guards against the loads of endpoints that are lost or taken for those of others because an id
// holds a separator of the list.
Test(peermessages, loadsOfEndpointsWithAnyIdAreDecodedUnchanged)
{
    const std::map<core::EndpointId, double> loads {{core::EndpointId("a=1;b"), 2},
                                                    {core::EndpointId("b"), 3},
                                                    {core::EndpointId("a%3D1"), 4},
                                                    {core::EndpointId("a b&\xC3\xA9"), 5}};
    PeerReport report;
    report.host = core::HostId("h1");
    report.load = loads;
    const auto decoded = decodePeerReport(encode(report, now), now);
    cr_assert(decoded.ok());
    cr_expect(decoded->load == loads);
    PeerView view;
    view.load = loads;
    const auto decodedView = decodePeerView(encode(view, now), now);
    cr_assert(decodedView.ok());
    cr_expect(decodedView->load == loads);
}
