#pragma once

#include <cstddef>
#include <cstdint>

/** Isolation of tasks under which upstreams crashed, so that a task that crashes upstreams harms little other work until it is given up. */
namespace rosemaryturn::policy
{
/** How a task is kept apart from other work until it is known to run well. */
enum class Isolation {
    None,
    Separate, ///< Prefers upstreams without suspects of other jobs, so that a further crash tells which one is the cause.
    Exclusive, ///< Runs without other suspects, gets no new work beside it, and only a part of such tasks of its step is tried at a time.
};

/** @param crashes number of upstreams that crashed under a task. @return how the task is kept apart. A single crash has many suspects, most of them innocent.
 */
Isolation isolationFor(std::uint32_t crashes);

/**
 * Limits the trials of a step whose tasks run exclusively: if all of them crash upstreams, few upstreams are lost before the job is given up.
 * @param waiting number of such tasks to place. @param running number of those that run and aren't known yet to run well. @param proven number of those that
 * are; as many more are tried at a time.
 * @return how many may be placed now.
 */
std::size_t trialsAllowed(std::size_t waiting, std::size_t running, std::size_t proven);
}
