#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace jackdawlead::core {

/// Digest of a customer's key: HMAC-SHA-256 with a random secret of the process, so that digests
/// are useless outside the process and the time of a comparison says nothing about a key. Has no
/// text form. Thread safety: a value type.
class KeyDigest
{
public:
    /// The digest of a key as a client sends it. Thread safety: any thread.
    static KeyDigest of(std::string_view key);

    auto operator<=>(const KeyDigest &) const = default;

private:
    std::array<std::uint8_t, 32> m_bytes {};
};

} // namespace jackdawlead::core
