#include "wire/callid.h"

#include <random>

namespace rosemaryturn::wire
{
std::uint64_t firstCallId(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    return (random() >> 1U) | 1U;
}
}
