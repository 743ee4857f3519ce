#pragma once

#include <cstdint>
#include <random>

namespace rosemaryturn::policy
{
/** How often and how fast an attempt is repeated. */
struct RetryPolicy
{
    std::uint32_t maxAttempts = 4; ///< Attempts in all, the first included.
    std::uint64_t baseMs = 200; ///< Longest wait before the second attempt.
    std::uint64_t capMs = 10000; ///< Longest wait before any attempt.
    double budgetShare = 0.2; ///< Retries that each fresh task pays for.
    double budgetBurst = 20; ///< Retries saved up at most.
};

/** Retries that a service has left. */
struct RetryBudget
{
    double tokens = 10;
};

/** Pays a fresh task into the budget. @param budget the budget. @param policy its policy. */
void creditNewTask(RetryBudget &budget, const RetryPolicy &policy);

/** Takes one retry. @param budget the budget. @return false when it is spent. */
bool consumeRetry(RetryBudget &budget);

/**
 * Full-jitter exponential back-off.
 * @param policy the policy.
 * @param attempt the number of the attempt that failed, from 1.
 * @param random the source of the jitter.
 * @return milliseconds to wait before the next attempt.
 */
std::uint64_t backoffMs(const RetryPolicy &policy, std::uint32_t attempt, std::mt19937_64 &random);
}
