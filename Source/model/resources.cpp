#include "model/resources.h"

namespace rosemaryturn::model
{
namespace
{
std::uint64_t subtract(std::uint64_t a, std::uint64_t b)
{
    return a > b ? a - b : 0;
}
}

bool fits(const Resources &need, const Resources &offer)
{
    return need.cpuMillis <= offer.cpuMillis && need.memoryMb <= offer.memoryMb && need.accelerators <= offer.accelerators && need.slots <= offer.slots;
}

Resources operator+(const Resources &a, const Resources &b)
{
    return {a.cpuMillis + b.cpuMillis, a.memoryMb + b.memoryMb, a.accelerators + b.accelerators, a.slots + b.slots};
}

Resources operator-(const Resources &a, const Resources &b)
{
    return {subtract(a.cpuMillis, b.cpuMillis), subtract(a.memoryMb, b.memoryMb), subtract(a.accelerators, b.accelerators), subtract(a.slots, b.slots)};
}
}
