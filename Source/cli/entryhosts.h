#pragma once

#include "cli/exitcode.h"
#include "transport/httpclient.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryturn::cli
{
/** Entry hosts that commands are sent to. */
struct EntryHosts
{
    std::vector<std::string> addresses; ///< As HOST:PORT, tried in turn.
    std::size_t nextIndex = 0;
};

/** Result of a call. */
struct CallResult
{
    ExitCode code = ExitCode::Unreachable;
    long status = 0;
    nlohmann::json body;
};

/** An HTTP request to an entry host. */
struct Call
{
    std::string method;
    std::string path;
    std::string body;
    std::uint64_t timeoutMs = 10000;
    std::uint64_t retryForMs = 15000; ///< How long a call without response or with a temporary refusal is retried.
};

/** @param text comma-separated list of HOST:PORT. @return the hosts. */
EntryHosts parseHosts(std::string_view text);

/**
 * Makes a call. If a host does not answer or refuses temporarily, the call is retried on the next host.
 * All calls of this tool are idempotent by their key or request id, so retries are safe.
 * @param hosts the entry hosts. @param call the call.
 * @return the result of the last attempt.
 */
CallResult callAnyHost(EntryHosts &hosts, const Call &call);

/** @param text any text. @return the text percent-encoded for use in a URL. */
std::string escapeUrl(std::string_view text);
}
