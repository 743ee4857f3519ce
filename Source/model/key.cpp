#include "model/key.h"

#include <algorithm>
#include <cctype>

namespace rosemaryturn::model
{
bool isPlainKey(std::string_view text)
{
    return !text.empty() && text.size() <= maxKeyLength && std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '.' || character == '_' || character == ':' || character == '-';
    });
}
}
