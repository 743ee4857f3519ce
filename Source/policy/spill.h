#pragma once

#include <cstddef>
#include <cstdint>

namespace rosemaryturn::policy
{
/** When a waiting task is spilled to another data centre. */
struct SpillPolicy
{
    std::uint64_t minWaitMs = 4000; ///< Minimum wait of a task without payload.
    double msPerKilobyte = 20; ///< Additional wait required per kilobyte of payload, for the billed traffic in both directions.
    std::uint64_t intervalMs = 500; ///< Interval between two rounds.
    std::size_t maxPerRound = 32; ///< Maximum tasks spilled per round.
};

/**
 * Compares the wait with the cost of the billed traffic.
 * @param policy the policy.
 * @param waitedMs time that the task has waited here, in milliseconds.
 * @param payloadBytes payload to be sent to the other data centre.
 * @return whether to spill the task.
 */
bool isWorthSpilling(const SpillPolicy &policy, std::uint64_t waitedMs, std::size_t payloadBytes);
}
