#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace jackdawlead::core {

/// Converts to Abseil's string_view; in the packaged library it differs from std::string_view.
inline absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace jackdawlead::core
