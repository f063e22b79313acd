#include "serving/randomid.h"

#include <openssl/rand.h>

#include <array>

namespace jackdawlead::serving {

std::string randomId()
{
    std::array<unsigned char, 16> bytes {};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

} // namespace jackdawlead::serving
