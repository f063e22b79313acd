#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace jackdawlead::core {

/// The text as Abseil's functions take it; the packaged library has a string_view of its own.
inline absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace jackdawlead::core
