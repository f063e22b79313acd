#include "core/keydigest.h"

#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <stdexcept>

namespace jackdawlead::core {

namespace {

using Secret = std::array<unsigned char, 32>;

const Secret &processSecret()
{
    static const Secret secret = [] {
        Secret bytes {};
        if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
            throw std::runtime_error("no random bytes for the digests of keys");
        return bytes;
    }();
    return secret;
}

} // namespace

KeyDigest KeyDigest::of(std::string_view key)
{
    const Secret &secret = processSecret();
    KeyDigest digest;
    unsigned int length = 0;
    if (HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
             reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.m_bytes.data(),
             &length)
        == nullptr)
        throw std::runtime_error("the digest of a key cannot be computed");
    return digest;
}

} // namespace jackdawlead::core
