#pragma once

#include "wire/codec.h"

#include <cstdint>

/**
 * Estimates of the memory that jobs, the plan, upstreams and waves take on a control host: in the replicated state, in the leader's lists, and in the copies of
 * a snapshot while it is made, written, sent or restored. Each is an upper bound, from the sizes in docs/CAPACITY.md.
 */
namespace rosemaryturn::job
{
/** @param spec a job. @return the bytes for its specification, without its tasks. */
std::uint64_t specBytes(const wire::JobSpecT &spec);

/** @param spec a job. @return the bytes for the tasks of one occurrence. */
std::uint64_t occurrenceBytes(const wire::JobSpecT &spec);

/** @param spec a job. @return the bytes that it takes once it is accepted: its specification and one occurrence. */
std::uint64_t acceptedBytes(const wire::JobSpecT &spec);

/** @param plan a plan. @return the bytes that it takes once it is in force. */
std::uint64_t planBytes(const wire::PlanAcceptedT &plan);

/** @param upstream a registration. @return the bytes for it and for what the leader knows of the upstream, without its runs. */
std::uint64_t upstreamBytes(const wire::UpstreamSeenT &upstream);

/** @param wave a wave. @return the bytes for it and its machines. */
std::uint64_t waveBytes(const wire::WaveStartedT &wave);

/** @param length size of a text. @return the bytes for the text. */
std::uint64_t textBytes(std::size_t length);
}
