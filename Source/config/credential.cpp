#include "config/credential.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <array>

namespace rosemaryturn::config
{
std::string credentialDigest(std::string_view key)
{
    constexpr std::size_t digestBytes = 32;
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, digestBytes> digest{};
    if (key.empty() || gnutls_hash_fast(GNUTLS_DIG_SHA256, key.data(), key.size(), digest.data()) != GNUTLS_E_SUCCESS) {
        return {};
    }
    std::string text;
    text.reserve(2 * digestBytes);
    for (const unsigned char byte : digest) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xFU]);
    }
    return text;
}

bool equalDigests(std::string_view first, std::string_view second)
{
    return !first.empty() && first.size() == second.size() && gnutls_memcmp(first.data(), second.data(), first.size()) == 0;
}
}
