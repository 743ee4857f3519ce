#pragma once

#include <cstddef>
#include <cstdint>

namespace rosemaryturn::policy
{
/** When a waiting task is worth handing to another data centre. */
struct SpillPolicy
{
    std::uint64_t minWaitMs = 4000; ///< Wait that a task without payload must have had.
    double msPerKilobyte = 20; ///< Wait that each billed kilobyte, there and back, must be worth.
    std::uint64_t intervalMs = 500; ///< Time between two rounds.
    std::size_t maxPerRound = 32; ///< Tasks handed over in a round.
};

/**
 * Weighs the wait against the billed traffic.
 * @param policy the policy.
 * @param waitedMs how long the task has waited here.
 * @param payloadBytes what would cross the link.
 * @return whether to hand it over.
 */
bool isWorthSpilling(const SpillPolicy &policy, std::uint64_t waitedMs, std::size_t payloadBytes);
}
