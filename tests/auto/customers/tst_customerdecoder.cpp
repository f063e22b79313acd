#include "core/boundedjson.h"
#include "customerconfig.h"
#include "platform/decoder.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::platform;
using namespace jackdawlead::testsupport;

namespace {

constexpr char secret[] = "sk-secret-7f3a";

/// The message of the error with which the customers are rejected; empty if they are accepted.
std::string errorOf(const json &tenants)
{
    const auto decoded = decodeConfiguration(configurationWith(tenants));
    return decoded.ok() ? std::string() : std::string(decoded.status().message());
}

json customerWith(const char *field, const json &value)
{
    json customer {{"name", "n"}, {"api_keys", {secret}}};
    customer[field] = value;
    return customer;
}

} // namespace

// Guards against a configuration without customers that requires keys, and against an empty list
// that opens the routes.
Test(customerdecoder, absentAndEmptyListsDiffer)
{
    const auto absent = decodeConfiguration(configuration(1, defaultRoutes()));
    cr_assert(absent.ok());
    cr_expect_not(absent->customers.has_value());
    const auto empty = decodeConfiguration(configurationWith(json::array()));
    cr_assert(empty.ok());
    cr_assert(empty->customers.has_value());
    cr_expect(empty->customers->empty());
}

// Guards against a field that is read under a wrong name or with a wrong default.
Test(customerdecoder, fieldsAreDecoded)
{
    json spec = configurationWith(
        {{{"name", "a"},
          {"api_keys", {"k1", "key2"}},
          {"priority", 2},
          {"unit", "tokens"},
          {"plain_tokens", 150},
          {"rate_per_s", 4200.5},
          {"burst", 100}},
         {{"name", "b"}, {"api_keys", json::array()}, {"unit", "calls"}, {"plain_tokens", 9}},
         {{"name", "c"}, {"api_keys", {"k3", "k3"}}, {"rate_per_s", 0}, {"unit", "tokens"}}});
    spec["routes"][0]["anonymous"] = true;
    const auto decoded = decodeConfiguration(spec);
    cr_assert(decoded.ok(), "%s", std::string(decoded.status().message()).c_str());
    const std::vector<fleet::Customer> &customers = *decoded->customers;
    cr_assert_eq(customers.size(), 3);
    cr_expect(customers[0].name == core::CustomerId("a"));
    const std::vector keys {core::KeyDigest::of("k1"), core::KeyDigest::of("key2")};
    cr_expect(customers[0].keys == keys);
    cr_expect(customers[0].priority == 2);
    cr_expect(customers[0].unit == fleet::QuotaUnit::Tokens);
    cr_expect(customers[0].defaultCost == 150);
    const fleet::Quota quota {4200.5, 100};
    cr_expect(customers[0].quota == quota);
    cr_expect(customers[1].keys.empty());
    cr_expect_not(customers[1].priority.has_value());
    cr_expect(customers[1].unit == fleet::QuotaUnit::Requests);
    cr_expect(customers[1].defaultCost == 1);
    cr_expect_not(customers[2].quota.has_value());
    cr_expect_eq(decoded->longestKeyBytes, 4);
    cr_expect(decoded->routes[0].isAnonymous);
    cr_expect_not(decoded->routes[1].isAnonymous);
}

// Guards against a configuration that is rejected, so that withdrawn keys stay valid, because a
// customer is written without keys; and against a key that is valid all the same.
Test(customerdecoder, customerWithoutKeysIsAccepted)
{
    json customer = customerWith("unit", "tokens");
    customer.erase("api_keys");
    const auto decoded = decodeConfiguration(configurationWith(json::array({customer})));
    cr_assert(decoded.ok(), "%s", std::string(decoded.status().message()).c_str());
    cr_expect(decoded->customers->at(0).keys.empty());
}

// Guards against a configuration that is accepted without a customer whose entry is faulty, and
// against messages that name no field.
Test(customerdecoder, faultyCustomersRejectTheConfiguration)
{
    cr_expect(errorOf(json()).find("tenants: ") != std::string::npos);
    cr_expect(errorOf(json::object()).find("tenants: ") != std::string::npos);
    cr_expect(errorOf(json::array({1})).find("tenants[0]: ") != std::string::npos);
    const std::pair<const char *, json> faults[]
        = {{"name", ""},      {"name", 7},          {"name", json()},     {"name", "a\r\nX: y"},
           {"name", " a"},    {"api_keys", "k"},    {"api_keys", json()}, {"priority", -1},
           {"priority", "1"}, {"priority", 1.5},    {"rate_per_s", "4"},  {"rate_per_s", -1},
           {"burst", json()}, {"plain_tokens", "x"}};
    for (const auto &[field, value] : faults) {
        const std::string path = std::string("tenants[1].") + field + ": ";
        const std::string error
            = errorOf({{{"name", "other"}, {"api_keys", {"k"}}}, customerWith(field, value)});
        cr_expect(error.find(path) != std::string::npos, "%s: %s", path.c_str(), error.c_str());
    }
    json unnamed = customerWith("unit", "tokens");
    unnamed.erase("name");
    cr_expect(errorOf(json::array({unnamed})).find("name") != std::string::npos);
    for (const json &key : {json(""), json(7), json()})
        cr_expect(errorOf(json::array({customerWith("api_keys", {"k", key})}))
                      .find("tenants[0].api_keys[1]: ")
                  != std::string::npos);
}

// Guards against a key that admits requests as either of two customers, and against errors that
// show it.
Test(customerdecoder, sharedKeysAndNamesAreNamedByTheirPaths)
{
    const std::string sharedKey = errorOf(
        {{{"name", "a"}, {"api_keys", {"k", secret}}}, {{"name", "b"}, {"api_keys", {secret}}}});
    cr_expect(sharedKey.find("tenants[1].api_keys[0]: also a key of tenants[0]")
                  != std::string::npos,
              "%s", sharedKey.c_str());
    cr_expect(sharedKey.find(secret) == std::string::npos);
    const std::string sharedName = errorOf({customerWith("unit", "a"), customerWith("unit", "b")});
    cr_expect(sharedName.find("tenants[1].name: also the name of tenants[0]") != std::string::npos);
    cr_expect(sharedName.find(secret) == std::string::npos);
}

// Guards against the messages of the JSON library, which quote the text around an error.
Test(customerdecoder, messagesOfMalformedTextQuoteNothing)
{
    const std::string texts[] {
        R"({"api_keys":["sk-secret-7f3a]})", R"(["sk-secret-7f3a" "sk-secret-7f3a"])",
        R"(["sk-secret-7f3a\q"])",           "[\"sk-secret-7f3a\x01\"]",
        "[\"sk-secret-7f3a\xff\"]",          "[735173517351e9999]"};
    for (const std::string &text : texts) {
        try {
            core::parseJson(text);
            cr_assert_fail("malformed text was accepted");
        } catch (const json::exception &error) {
            const std::string message = error.what();
            cr_expect(message.find("7f3") == std::string::npos, "%s", message.c_str());
            cr_expect(message.find("73517351") == std::string::npos, "%s", message.c_str());
            cr_expect(message.find("at byte ") != std::string::npos, "%s", message.c_str());
        }
    }
}
