#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <system_error>

namespace rosemaryturn::model
{
/** Reason why a request was refused, an attempt was retried or a task ended. Each has its own counter. */
enum class Reason : std::uint16_t {
    None = 0,
    // Refused by the entry host.
    MalformedJson,
    BodyTooLarge,
    WrongType,
    UnknownField,
    MissingField,
    OutOfRange,
    BadKey,
    NotFound,
    TooManyWaiters,
    // Refused by admission; the work did not run.
    UnknownService,
    UnknownTeam,
    KeyReused,
    NeverFits,
    QueueFull,
    TeamQueueFull,
    DeadlineTooShort,
    ShuttingDown,
    // Refused because the responsible leader is not available.
    NoLeader,
    HomeUnreachable,
    HomeSilent,
    LeadershipLost,
    TooManyHops,
    // Refused changes of the configuration.
    RevisionConflict,
    InvalidDocument,
    RequestIdReused,
    NothingToPromote,
    UnknownRevision,
    VerdictOutdated,
    ConfigNotLearnt,
    // Ends and retries of attempts.
    Cancelled,
    QueueDeadline,
    StartRefused,
    StartNeverBegan,
    LeaseExpired,
    WorkerRestarted,
    WorkerLostTask,
    TaskFailed,
    AttemptsExhausted,
    RetryBudgetSpent,
    AnswerCorrupt,
    AnswerFenced,
    AnswerExpired,
    GangIncomplete,
    RunTimeExceeded,
    ReplacedByConfig,
    Preempted,
    WorkerUnregistered,
    // Refused in the deployment scope.
    UnknownQueue,
    UnknownJob,
    NotAdviser,
    StateFull,
    CredentialMissing,
    CredentialUnknown,
    OtherTeam,
    InvalidTeams,
    BeyondTeamLimit,
    // Refused by the HTTP server before the handler runs.
    TooManyBodies,
    TooManyConnections,
    RequestTooSlow,
    Overloaded,
};

/** What the caller of a refused request may do. */
enum class RetryGuidance {
    Never, ///< The same request fails again.
    Later, ///< The same request with the same key may be sent again.
    Changed, ///< The request must be corrected first.
};

/** Entry of the reason table. */
struct ReasonInfo
{
    Reason reason; ///< The enumerator.
    std::string_view name; ///< The stable name in bodies, metrics and documentation.
    unsigned httpStatus; ///< HTTP status of an answer with this reason.
    RetryGuidance retry; ///< What the caller may do.
    std::string_view text; ///< Description for callers: what happened and what to do.
};

/** @return all reasons, in the order of the enumerators. */
std::span<const ReasonInfo> allReasons();

/** @param reason a reason. @return its table entry. */
const ReasonInfo &reasonInfo(Reason reason);

/** @return the category of refused requests. */
const std::error_category &reasonCategory() noexcept;

/** @param reason a reason. @return the reason as a std::error_code. */
std::error_code make_error_code(Reason reason) noexcept;
}

template<>
struct std::is_error_code_enum<rosemaryturn::model::Reason> : std::true_type
{
};
