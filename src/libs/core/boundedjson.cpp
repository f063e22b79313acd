#include "core/boundedjson.h"

#include <absl/strings/str_cat.h>

#include <string>
#include <type_traits>

namespace jackdawlead::core {

namespace {

using nlohmann::json;

/// Builds a value as the library does, but stops at a nesting depth. Errors state the position
/// only, because the library's messages quote the text, which may contain keys of customers.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<json>
{
public:
    using Base = nlohmann::detail::json_sax_dom_parser<json>;
    using Base::Base;

    bool start_object(std::size_t size) { return enter() && Base::start_object(size); }
    bool end_object()
    {
        --m_depth;
        return Base::end_object();
    }
    bool start_array(std::size_t size) { return enter() && Base::start_array(size); }
    bool end_array()
    {
        --m_depth;
        return Base::end_array();
    }
    template <typename Exception>
    bool parse_error(std::size_t position, const std::string & /*token*/, const Exception &error)
    {
        if constexpr (std::is_same_v<Exception, json::parse_error>)
            throw json::parse_error::create(error.id, position, "malformed", nullptr);
        throwOutOfRange(absl::StrCat("number out of range at byte ", position).c_str());
    }

private:
    bool enter() { return ++m_depth <= maxJsonDepth; }

    int m_depth = 0;
};

json parse(std::string_view bytes, json::input_format_t format)
{
    json value;
    BoundedBuilder builder(value);
    // The builder throws on malformed input, so that a false result is due to the depth.
    if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, format))
        throwOutOfRange("nested too deep");
    return value;
}

/// Position after the string that begins at `begin`; the size if it does not end.
std::size_t stringEnd(std::string_view text, std::size_t begin)
{
    for (std::size_t at = begin + 1; at < text.size(); ++at) {
        if (text[at] == '\\')
            ++at;
        else if (text[at] == '"')
            return at + 1;
    }
    return text.size();
}

/// Position after the value that begins at `begin`, at the next comma or bracket of its container.
std::size_t valueEnd(std::string_view text, std::size_t begin)
{
    std::size_t depth = 0;
    std::size_t at = begin;
    while (at < text.size()) {
        const char character = text[at];
        if (character == '"') {
            at = stringEnd(text, at);
            continue;
        }
        const bool isClosing = character == '}' || character == ']';
        if (depth == 0 && (isClosing || character == ','))
            return at;
        if (isClosing)
            --depth;
        else if (character == '{' || character == '[')
            ++depth;
        ++at;
    }
    return at;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view space = " \t\r\n";
    const std::size_t begin = text.find_first_not_of(space);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(space) - begin + 1);
}

/// The parts of an object or array between its commas.
std::vector<std::string_view> partsOf(std::string_view container, char opening)
{
    std::vector<std::string_view> parts;
    container = trimmed(container);
    if (!container.starts_with(opening))
        return parts;
    std::size_t begin = 1;
    while (begin < container.size()) {
        const std::size_t end = valueEnd(container, begin);
        if (const auto part = trimmed(container.substr(begin, end - begin)); !part.empty())
            parts.push_back(part);
        if (end >= container.size() || container[end] != ',')
            break;
        begin = end + 1;
    }
    return parts;
}

[[noreturn]] void throwWrongType(const char *what)
{
    constexpr int wrongType = 302; // The library's code for values of another type.
    throw json::type_error::create(wrongType, what, nullptr);
}

} // namespace

void throwOutOfRange(const char *what)
{
    constexpr int outOfRange = 406; // The library's code for numbers that are out of range.
    throw json::out_of_range::create(outOfRange, what, nullptr);
}

json parseJson(std::string_view text)
{
    return parse(text, json::input_format_t::json);
}

json parseCbor(std::string_view bytes)
{
    return parse(bytes, json::input_format_t::cbor);
}

std::string_view memberText(std::string_view object, std::string_view name)
{
    const std::string key = '"' + std::string(name) + '"';
    for (const std::string_view part : partsOf(object, '{')) {
        if (!part.starts_with(key))
            continue;
        const std::string_view rest = trimmed(part.substr(key.size()));
        if (rest.starts_with(':'))
            return trimmed(rest.substr(1));
    }
    return {};
}

std::vector<std::string_view> elementTexts(std::string_view array)
{
    if (!trimmed(array).starts_with('['))
        throwWrongType("not an array");
    return partsOf(array, '[');
}

bool isClosed(std::string_view text)
{
    text = trimmed(text);
    std::size_t depth = 0;
    bool hasOpened = false;
    std::size_t at = 0;
    while (at < text.size()) {
        const char character = text[at];
        if (character == '"') {
            at = stringEnd(text, at);
            continue;
        }
        const bool isClosing = character == '}' || character == ']';
        if (isClosing && depth == 0)
            return false;
        if (isClosing)
            --depth;
        else if (character == '{' || character == '[')
            ++depth;
        hasOpened |= depth > 0;
        ++at;
    }
    return hasOpened && depth == 0;
}

bool booleanOf(std::string_view text)
{
    const bool isTrue = trimmed(text) == "true";
    if (!isTrue && trimmed(text) != "false")
        throwWrongType("not a boolean");
    return isTrue;
}

} // namespace jackdawlead::core
