#pragma once

#include "wire/codec.h"

#include <cstdint>

/**
 * Estimates of the memory that jobs take on a control host: in the replicated state, in the leader's lists, and in the copies of a snapshot while it is made,
 * written, sent or restored. Each is an upper bound, from the sizes in docs/CAPACITY.md.
 */
namespace rosemaryturn::job
{
/** @param spec a job. @return the bytes for its specification, without its tasks. */
std::uint64_t specBytes(const wire::JobSpecT &spec);

/** @param spec a job. @return the bytes for the tasks of one occurrence. */
std::uint64_t occurrenceBytes(const wire::JobSpecT &spec);

/** @param spec a job. @return the bytes that it takes once it is accepted: its specification and one occurrence. */
std::uint64_t acceptedBytes(const wire::JobSpecT &spec);

/** @param length size of a text. @return the bytes for the text. */
std::uint64_t textBytes(std::size_t length);
}
