#pragma once

#include <cstdint>
#include <random>

namespace rosemaryturn::policy
{
/** Limits, back-off and budget of retries. */
struct RetryPolicy
{
    std::uint32_t maxAttempts = 4; ///< Maximum attempts, including the first.
    std::uint64_t baseMs = 200; ///< Maximum wait before the second attempt.
    std::uint64_t capMs = 10000; ///< Maximum wait before any attempt.
    double budgetShare = 0.2; ///< Retries credited to the budget per new task.
    double budgetBurst = 20; ///< Maximum retries that the budget accumulates.
};

/** Remaining retries of a service. */
struct RetryBudget
{
    double tokens = 10;
};

/** Credits a new task to the budget. @param budget the budget. @param policy its policy. */
void creditNewTask(RetryBudget &budget, const RetryPolicy &policy);

/** Consumes one retry. @param budget the budget. @return false when the budget is exhausted. */
bool consumeRetry(RetryBudget &budget);

/**
 * Computes the exponential back-off with full jitter.
 * @param policy the policy.
 * @param attempt number of the failed attempt, from 1.
 * @param random the source of the jitter.
 * @return milliseconds to wait before the next attempt.
 */
std::uint64_t backoffMs(const RetryPolicy &policy, std::uint32_t attempt, std::mt19937_64 &random);
}
