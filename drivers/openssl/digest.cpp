#include "drivers/openssl/digest.h"

#include <cstdlib>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace kumquat {

std::string sha256Hex(std::string_view bytes)
{
    constexpr char digits[] = "0123456789abcdef";
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest);
    std::string text;
    for (const unsigned char byte : digest) {
        text += digits[byte >> 4];
        text += digits[byte & 0xf];
    }
    return text;
}

std::uint64_t randomNonZero()
{
    std::uint64_t value = 0;
    while (value == 0) {
        // Without randomness an incarnation could repeat, and the at-most-once guarantee depends on unique incarnations.
        if (RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof value) != 1)
            std::abort();
    }
    return value;
}

} // namespace kumquat
