#include "customerconfig.h"
#include "gateway/customers/requestadmission.h"
#include "platform/decoder.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;
using gateway::customers::RequestAdmission;
using Verdict = RequestAdmission::Verdict;

namespace {

std::shared_ptr<const decisions::RouteTable> tableOf(const json &spec)
{
    auto decoded = platform::decodeConfiguration(spec);
    cr_assert(decoded.ok(), "%s", std::string(decoded.status().message()).c_str());
    return std::make_shared<const decisions::RouteTable>(*std::move(decoded));
}

json twoCustomers()
{
    json spec = configurationWith(
        {{{"name", "a"}, {"api_keys", {"key-of-a"}}, {"unit", "tokens"}, {"plain_tokens", 150}},
         {{"name", "b"}, {"api_keys", {"b1", "b2"}}, {"priority", 12}}});
    spec["routes"][1]["anonymous"] = true;
    return spec;
}

struct Check
{
    RequestAdmission admission;
    http::MessageHead head;

    explicit Check(net::Headers headers)
    {
        head.method = "POST";
        head.target = "/get/";
        head.headers = std::move(headers);
    }

    Verdict against(const std::shared_ptr<const decisions::RouteTable> &table,
                    const char *target = "/get/")
    {
        return admission.checkKey(head, platform::parseRequestFields(head), table,
                                  *table->find("a.example", target));
    }

    /// The request as an endpoint receives it.
    std::string forwarded(const decisions::RouteTable &inForce) const
    {
        platform::ForwardFields forward;
        forward.endpoint = core::EndpointId("e");
        admission.addTo(forward, inForce);
        return platform::formatForwardedRequest(head, {}, forward);
    }
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against requests that run without the key of a customer, and against a field of any
// content that ends the daemon.
Test(requestadmission, onlyOneKnownKeyIsValid)
{
    const auto table = tableOf(twoCustomers());
    for (const char *key : {"key-of-a", "b1", "b2"})
        cr_expect(Check({{"api-KEY", key}}).against(table) == Verdict::Granted, "%s", key);
    const net::Headers invalid[] = {{},
                                    {{"Api-Key", ""}},
                                    {{"Api-Key", "b1"}, {"api-key", "b1"}},
                                    {{"Api-Key", "b"}},
                                    {{"Api-Key", "b1 "}},
                                    {{"Api-Key", "B1"}},
                                    {{"Api-Key", "Bearer b1"}},
                                    {{"Api-Key", "sch\xc3\xbcssel\xff"}},
                                    {{"Api-Key", std::string(65536, 'k')}},
                                    {{"Tenant", "a"}}};
    for (const net::Headers &headers : invalid) {
        Check check(headers);
        cr_expect(check.against(table) == Verdict::InvalidKey);
        cr_expect(check.admission.customer() == nullptr);
    }
    cr_expect(Check({{"Api-Key", "b1"}}).against(tableOf(configurationWith(json::array())))
              == Verdict::InvalidKey);
}

// Guards against a customer that is found for a key which moved or was withdrawn, when the check is
// repeated with a newer configuration.
Test(requestadmission, repeatedChecksFollowTheConfiguration)
{
    Check check({{"Api-Key", "b1"}});
    cr_assert(check.against(tableOf(twoCustomers())) == Verdict::Granted);
    cr_expect(check.admission.customer()->name == core::CustomerId("b"));
    cr_assert(check.against(tableOf(
                  configurationWith(json::array({{{"name", "c"}, {"api_keys", {"b1", "b2"}}}}))))
              == Verdict::Granted);
    cr_expect(check.admission.customer()->name == core::CustomerId("c"));
    cr_expect(check.against(
                  tableOf(configurationWith(json::array({{{"name", "c"}, {"api_keys", {"b2"}}}}))))
              == Verdict::InvalidKey);
}

// Guards against keys at endpoints, against callers that choose their customer or priority, and
// against a changed request while no customers are configured.
Test(requestadmission, endpointsGetTheCustomerInsteadOfTheKey)
{
    const auto table = tableOf(twoCustomers());
    const net::Headers headers {
        {"Api-Key", "b1"}, {"tenant", "a"}, {"Connection", "Tenant"}, {"Request-Priority", "0"}};
    Check customer(headers);
    cr_assert(customer.against(table) == Verdict::Granted);
    const std::string ofCustomer = customer.forwarded(*table);
    cr_expect_not(contains(ofCustomer, "b1"));
    cr_expect(contains(ofCustomer, "\r\nTenant: b\r\n"));
    cr_expect_not(contains(ofCustomer, "tenant: a"));
    cr_expect(contains(ofCustomer, "\r\nRequest-Priority: 9\r\n"));
    Check ofRoute({{"Api-Key", "key-of-a"}});
    cr_assert(ofRoute.against(table) == Verdict::Granted);
    cr_expect(contains(ofRoute.forwarded(*table), "\r\nRequest-Priority: 1\r\n"));

    Check anonymous({{"Api-Key", "b1"}, {"tenant", "a"}});
    cr_assert(anonymous.against(table, "/order/") == Verdict::Granted);
    for (const char *part : {"b1", "enant", "Priority"})
        cr_expect_not(contains(anonymous.forwarded(*table), part), "%s", part);

    const auto open = tableOf(configuration(1, defaultRoutes()));
    Check without({{"Api-Key", "b1"}, {"tenant", "a"}});
    cr_assert(without.against(open) == Verdict::Granted);
    const std::string unchanged = without.forwarded(*open);
    cr_expect_str_eq(unchanged.c_str(),
                     "POST /get/ HTTP/1.1\r\nApi-Key: b1\r\ntenant: a\r\nExpect-Instance: e\r\n"
                     "Deadline-Ms: 0\r\n\r\n");
    // A request that began before customers were configured, and is sent again afterwards.
    cr_expect_not(contains(without.forwarded(*table), "b1"));
}

// Guards against requests that cost nothing, or that cost tokens where requests are counted.
Test(requestadmission, costsFollowTheUnit)
{
    const auto table = tableOf(twoCustomers());
    const auto costOf = [&table](const char *key, const char *tokens) {
        Check check({{"Api-Key", key}, {"Token-Count", tokens}});
        cr_assert(check.against(table) == Verdict::Granted);
        return check.admission.cost();
    };
    cr_expect_eq(costOf("key-of-a", "1000,118"), 1118);
    for (const char *malformed : {"", "7", "7,", "7,x", "-7,8", "1,2,3"})
        cr_expect_eq(costOf("key-of-a", malformed), 150, "%s", malformed);
    cr_expect_eq(costOf("b1", "1000,118"), 1);
}
