#pragma once

#include <cstdint>
#include <functional>

namespace rosemaryturn::config
{
/** Copies of a request while it is routed: in a queue, for the leader, and in records and frames before and after their encoding. */
constexpr std::uint64_t requestCopies = 4;

/**
 * Counts the memory of the parsed forms of a body on the thread that parses it: that of JSON values, which ends with the parsing, and then that of the copies
 * of the request built from them, which lasts until the request is answered.
 */
struct MemoryMeter
{
    std::uint64_t grantedBytes = 0; ///< Reserved for the larger of both.
    std::uint64_t jsonBytes = 0; ///< Memory of JSON values.
    std::uint64_t requestBytes = 0; ///< Memory of one copy of the request.
    bool exceeded = false; ///< The memory could not be reserved; parsing has failed for that reason.
    std::function<bool(std::uint64_t)> grow; ///< Reserves the given number of bytes more; returns false if there is no memory for them.
};

/** Sets the meter of this thread. @param meter the meter, which outlives its use; null for none. */
void setThreadMeter(MemoryMeter *meter);

/** Counts memory of JSON values. @param bytes the memory. @return false if the body must not be parsed further; always true without a meter. */
bool addJsonMemory(std::uint64_t bytes);

/** Counts memory of a request. @param bytes memory of one copy. @return false if the request must not be built further; always true without a meter. */
bool addRequestMemory(std::uint64_t bytes);
}
