#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string_view>
#include <vector>

namespace jackdawlead::platform {

// Messages are nested up to about ten levels deep. Copying and destroying a value uses the stack
// for each level, and a value with 100,000 of them overflowed it.
inline constexpr int maxJsonDepth = 64;

/// Parses JSON text. Errors: nlohmann::json::exception if it is malformed, has a number that is out
/// of range, or is nested more than maxJsonDepth levels deep. Thread safety: any thread.
nlohmann::json parseJson(std::string_view text);
/// The same for CBOR.
nlohmann::json parseCbor(std::string_view bytes);

/// The text of a member's value in the text of a JSON object; empty if there is none. Nothing is
/// built, so that a value that cannot be parsed does not affect the others. Thread safety: any
/// thread.
std::string_view memberText(std::string_view object, std::string_view name);
/// The texts of the elements of a JSON array. Thread safety: any thread.
std::vector<std::string_view> elementTexts(std::string_view array);

/// The value as an integer. Errors: nlohmann::json::exception if it is no number or out of range.
template <typename Integer> Integer integerOf(const nlohmann::json &value)
{
    const auto fail = [] [[noreturn]] {
        throw nlohmann::json::out_of_range::create(406, "integer out of range", nullptr);
    };
    if (value.is_number_float()) {
        const auto number = value.get<double>();
        // The largest integers are rounded up when converted, hence "less than".
        const bool isInRange = number >= static_cast<double>(std::numeric_limits<Integer>::min())
            && number < static_cast<double>(std::numeric_limits<Integer>::max());
        if (!isInRange)
            fail();
        return static_cast<Integer>(number);
    }
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        if (number > static_cast<std::uint64_t>(std::numeric_limits<Integer>::max()))
            fail();
        return static_cast<Integer>(number);
    }
    const auto number = value.get<std::int64_t>();
    if constexpr (std::numeric_limits<Integer>::is_signed) {
        if (number < std::numeric_limits<Integer>::min())
            fail();
    } else if (number < 0) {
        fail();
    }
    return static_cast<Integer>(number);
}

/// The same for a member of an object, or `fallback` if there is none.
template <typename Integer>
Integer integerMember(const nlohmann::json &object, const char *name, Integer fallback)
{
    const auto member = object.find(name);
    return member == object.end() ? fallback : integerOf<Integer>(*member);
}

} // namespace jackdawlead::platform
