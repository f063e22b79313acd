#include "net/httpsyntax.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>

namespace jackdawlead::net {

bool isFieldName(std::string_view name)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::ranges::all_of(name, [&](char character) {
        return absl::ascii_isalnum(static_cast<unsigned char>(character))
            || symbols.find(character) != std::string_view::npos;
    });
}

bool isFieldValue(std::string_view value)
{
    const auto isBlank = [](char character) { return character == ' ' || character == '\t'; };
    return !value.empty() && !isBlank(value.front()) && !isBlank(value.back())
        && std::ranges::none_of(value, [](char character) {
               return character != '\t'
                   && absl::ascii_iscntrl(static_cast<unsigned char>(character));
           });
}

bool isTransferCodingKnown(const Headers &headers)
{
    bool isChunked = false;
    for (const auto &[name, value] : headers.fields()) {
        if (!absl::EqualsIgnoreCase(name, "Transfer-Encoding"))
            continue;
        if (isChunked || !absl::EqualsIgnoreCase(value, "chunked"))
            return false;
        isChunked = true;
    }
    return true;
}

} // namespace jackdawlead::net
