#include "policy/retry.h"

#include <algorithm>

namespace rosemaryturn::policy
{
namespace
{
/** Limits the doublings of the back-off, which would otherwise overflow before the cap applies. */
constexpr std::uint32_t maxDoublings = 30;
}

void creditNewTask(RetryBudget &budget, const RetryPolicy &policy)
{
    budget.tokens = std::min(budget.tokens + policy.budgetShare, policy.budgetBurst);
}

bool consumeRetry(RetryBudget &budget)
{
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

std::uint64_t backoffMs(const RetryPolicy &policy, std::uint32_t attempt, std::mt19937_64 &random)
{
    const std::uint32_t doublings = std::min(attempt > 0 ? attempt - 1 : 0, maxDoublings);
    const std::uint64_t longest = std::min(policy.baseMs << doublings, policy.capMs);
    return std::uniform_int_distribution<std::uint64_t>(0, longest)(random);
}
}
