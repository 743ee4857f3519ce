#pragma once

#include <string>
#include <string_view>

namespace rosemaryturn::config
{
/** @param key a caller's key. @return its SHA-256 digest as hexadecimal digits; empty for an empty key or if the digest can't be computed. */
std::string credentialDigest(std::string_view key);

/** Compares two digests in a time that doesn't depend on their content, so that response times tell nothing about a digest. @param first a digest. @param
 * second a digest. @return whether they are equal; false if one is empty. */
bool equalDigests(std::string_view first, std::string_view second);
}
