#include "platform/customerdecoder.h"

#include "core/error.h"
#include "platform/wirenames.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace jackdawlead::platform {

namespace {

using nlohmann::json;

// What most requests without a stated number of tokens cost; a lower value would admit more than
// the quota allows.
constexpr double defaultPlainTokens = 200;

/// An error at a field. The library's exceptions are not used, because they may quote values.
class FieldError : public std::runtime_error
{
public:
    FieldError(const std::string &path, const char *what)
        : std::runtime_error(absl::StrCat(path, ": ", what))
    { }
};

/// A member of an object, with its path from the configuration's root; no value if it is absent.
struct Field
{
    const json *value = nullptr;
    std::string path;
};

Field fieldOf(const Field &object, const char *name)
{
    const auto found = object.value->find(name);
    return {found == object.value->end() ? nullptr : &*found, absl::StrCat(object.path, ".", name)};
}

Field elementOf(const Field &list, std::size_t index)
{
    return {&(*list.value)[index], absl::StrCat(list.path, "[", index, "]")};
}

const json &requiredList(const Field &field)
{
    if (field.value == nullptr || !field.value->is_array())
        throw FieldError(field.path, "not a list");
    return *field.value;
}

const std::string &requiredText(const Field &field)
{
    if (field.value == nullptr || !field.value->is_string())
        throw FieldError(field.path, "not a text");
    const auto &text = field.value->get_ref<const std::string &>();
    if (text.empty())
        throw FieldError(field.path, "empty");
    return text;
}

double numberOr(const Field &field, double fallback)
{
    if (field.value == nullptr)
        return fallback;
    if (!field.value->is_number())
        throw FieldError(field.path, "not a number");
    const auto number = field.value->get<double>();
    if (number < 0)
        throw FieldError(field.path, "below 0");
    return number;
}

std::optional<int> decodePriority(const Field &field)
{
    // Any larger number means the lowest priority, too.
    constexpr std::int64_t maxPriority = 1000;
    if (field.value == nullptr)
        return std::nullopt;
    // One that is too large for a signed integer reads as below 0 and is rejected.
    if (!field.value->is_number_integer() || field.value->get<std::int64_t>() < 0)
        throw FieldError(field.path, "not an integer from 0 on");
    return static_cast<int>(std::min(field.value->get<std::int64_t>(), maxPriority));
}

// The name is sent to endpoints as the value of a header field, of which it must not be able to end
// the line; surrounding space is not part of a value there.
core::CustomerId decodeName(const Field &field)
{
    const std::string &name = requiredText(field);
    if (std::ranges::any_of(name, absl::ascii_iscntrl))
        throw FieldError(field.path, "has a control character");
    if (absl::ascii_isspace(name.front()) || absl::ascii_isspace(name.back()))
        throw FieldError(field.path, "begins or ends with a space");
    return core::CustomerId(name);
}

/// Decodes one customer after the other and keeps what must differ between them.
class Decoder
{
public:
    void add(const Field &object)
    {
        if (!object.value->is_object())
            throw FieldError(object.path, "not an object");
        fleet::Customer customer;
        const Field name = fieldOf(object, "name");
        customer.name = decodeName(name);
        requireUnique(m_names, customer.name, name, object.path, "also the name of ");
        customer.keys = decodeKeys(fieldOf(object, "api_keys"), object.path);
        customer.priority = decodePriority(fieldOf(object, "priority"));
        const Field unit = fieldOf(object, "unit");
        const Field plainTokens = fieldOf(object, "plain_tokens");
        const double plainCost = numberOr(plainTokens, defaultPlainTokens);
        if (unit.value != nullptr && *unit.value == "tokens") {
            customer.unit = fleet::QuotaUnit::Tokens;
            customer.defaultCost = plainCost;
        }
        const double rate = numberOr(fieldOf(object, "rate_per_s"), 0);
        const double burst = numberOr(fieldOf(object, "burst"), 0);
        if (rate > 0)
            customer.quota = {rate, burst};
        m_result.customers.push_back(std::move(customer));
    }

    DecodedCustomers takeResult() { return std::move(m_result); }

private:
    template <typename Value>
    static void requireUnique(std::map<Value, std::string> &owners, const Value &value,
                              const Field &field, const std::string &customer, const char *what)
    {
        const auto [owner, isNew] = owners.emplace(value, customer);
        if (!isNew && owner->second != customer)
            throw FieldError(field.path, absl::StrCat(what, owner->second).c_str());
    }

    std::vector<core::KeyDigest> decodeKeys(const Field &list, const std::string &customer)
    {
        std::vector<core::KeyDigest> keys;
        for (std::size_t index = 0; index < requiredList(list).size(); ++index) {
            const Field field = elementOf(list, index);
            const std::string &text = requiredText(field);
            const auto key = core::KeyDigest::of(text);
            requireUnique(m_keys, key, field, customer, "also a key of ");
            keys.push_back(key);
            m_result.longestKeyBytes = std::max(m_result.longestKeyBytes, text.size());
        }
        return keys;
    }

    DecodedCustomers m_result;
    std::map<core::CustomerId, std::string> m_names;
    std::map<core::KeyDigest, std::string> m_keys; ///< With the path of their customer.
};

} // namespace

absl::StatusOr<DecodedCustomers> decodeCustomers(const json &list)
{
    try {
        Decoder decoder;
        const Field field {&list, wire::customersField};
        for (std::size_t index = 0; index < requiredList(field).size(); ++index)
            decoder.add(elementOf(field, index));
        return decoder.takeResult();
    } catch (const FieldError &error) {
        return core::makeError(absl::StatusCode::kInvalidArgument, "decode configuration",
                               "platform", error.what());
    }
}

} // namespace jackdawlead::platform
