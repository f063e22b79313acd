#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string_view>
#include <vector>

namespace jackdawlead::core {

// Messages are nested up to about ten levels deep. Copying and destroying a value uses the stack
// for each level, and a value with 100,000 of them overflowed it.
inline constexpr int maxJsonDepth = 64;

/// Parses JSON text. Errors: nlohmann::json::exception if it is malformed, has a number that is out
/// of range, or is nested more than maxJsonDepth levels deep; the messages state positions and
/// quote nothing. Thread safety: any thread.
nlohmann::json parseJson(std::string_view text);
/// The same for CBOR.
nlohmann::json parseCbor(std::string_view bytes);

/// The text of a member's value in the text of a JSON object; empty if there is none. Nothing is
/// built, so that a value that cannot be parsed does not affect the others. Thread safety: any
/// thread.
std::string_view memberText(std::string_view object, std::string_view name);
/// The texts of the elements of a JSON array. Errors: nlohmann::json::exception if the text is no
/// array. Thread safety: any thread.
std::vector<std::string_view> elementTexts(std::string_view array);
/// Whether each string, object and array in the text of a JSON object or array ends in it, which
/// those in the begin of such a text do not. Thread safety: any thread.
bool isClosed(std::string_view text);
/// The value of a JSON boolean. Errors: nlohmann::json::exception if the text is none. Thread
/// safety: any thread.
bool booleanOf(std::string_view text);

[[noreturn]] void throwOutOfRange(const char *what);

/// The value as an integer. Errors: nlohmann::json::exception if it is no number or out of range.
template <typename Integer> Integer integerOf(const nlohmann::json &value)
{
    using Limits = std::numeric_limits<Integer>;
    bool isInRange = true;
    Integer result {};
    if (value.is_number_float()) {
        const auto number = value.get<double>();
        // The largest integers are rounded up when converted, hence "less than".
        isInRange = number >= static_cast<double>(Limits::min())
            && number < static_cast<double>(Limits::max());
        result = isInRange ? static_cast<Integer>(number) : Integer {};
    } else if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        isInRange = number <= static_cast<std::uint64_t>(Limits::max());
        result = static_cast<Integer>(number);
    } else {
        const auto number = value.get<std::int64_t>();
        isInRange
            = Limits::is_signed ? number >= static_cast<std::int64_t>(Limits::min()) : number >= 0;
        result = static_cast<Integer>(number);
    }
    if (!isInRange)
        throwOutOfRange("integer out of range");
    return result;
}

/// The same for a member of an object, or `fallback` if there is none.
template <typename Integer>
Integer integerMember(const nlohmann::json &object, const char *name, Integer fallback)
{
    const auto member = object.find(name);
    return member == object.end() ? fallback : integerOf<Integer>(*member);
}

} // namespace jackdawlead::core
