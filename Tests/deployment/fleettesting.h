#pragma once

#include "fakes/fleet.h"
#include "testing.h"

#include <cstdint>
#include <cstdlib>
#include <string>

/** Functions that the tests of a simulated deployment share; found by the type of their first argument. */
namespace rosemaryturn::fakes
{
/** @param fleet the deployment. @return its violations, one a line; empty for none. */
inline std::string violationsText(const Fleet &fleet)
{
    std::string text;
    for (const std::string &line : fleet.violations) {
        text += line + "\n";
    }
    return text;
}

/** Waits until there is an active leader and upstreams accept work. @param fleet the deployment. */
inline void waitUntilReady(Fleet &fleet)
{
    CHECK(fleet.runUntil(
        [&] {
            return fleet.leader() != nullptr;
        },
        10000));
    fleet.run(3000);
}

/** Runs until a job is completed. @param fleet the deployment. @param path of the job. @param ms the maximum time. @return whether it is completed. */
inline bool completes(Fleet &fleet, const std::string &path, std::uint64_t ms)
{
    return fleet.runUntil(
        [&] {
            return fleet.phase(path) == job::Phase::Completed;
        },
        ms);
}

/** @param upstreams the number of upstreams. @return the options of a fleet. */
inline FleetOptions withUpstreams(std::uint32_t upstreams)
{
    FleetOptions options;
    options.upstreams = upstreams;
    const char *seed = std::getenv("ROSEMARYTURN_SEED"); // For manual runs with other seeds.
    options.seed = seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10);
    return options;
}

/** Prepares a deployment with one queue. @param fleet the deployment. */
inline void prepare(Fleet &fleet)
{
    fleet.trace = std::getenv("ROSEMARYTURN_TRACE") != nullptr;
    waitUntilReady(fleet);
    constexpr std::uint32_t attempts = 5; // More than the crashes that are allowed.
    CHECK(fleet.putPlan(1, attempts, false));
}

/** Checks that no guarantee was violated and no job failed without a cause. @param fleet the deployment. */
inline void checkGuarantees(Fleet &fleet)
{
    fleet.checkFailedJobs();
    CHECK_TEXT("", violationsText(fleet));
}
}
