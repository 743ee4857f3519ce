#pragma once

#include <cstdint>

namespace rosemaryturn::wire
{
/**
 * Selects the id of a process's first call to other hosts; the following calls have the following ids. Replies are addressed to a host, not to a process, so
 * the ids of two processes must not overlap: a reply to a call of an earlier process then matches no call of its successor.
 * @param seed a random number that no other process uses.
 * @return a random id, never 0; at least 2^63 further ids follow it.
 */
std::uint64_t firstCallId(std::uint64_t seed);
}
