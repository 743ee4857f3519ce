#pragma once

#include <cstddef>
#include <string_view>

namespace rosemaryturn::model
{
/** Maximum length of a key, in bytes. */
constexpr std::size_t maxKeyLength = 200;

/** @param text a key of a caller or an upstream's id. @return whether it has 1 to maxKeyLength characters, all of A-Z a-z 0-9 . _ : - */
bool isPlainKey(std::string_view text);
}
