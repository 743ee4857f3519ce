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
/** Where commands are sent. */
struct EntryHosts
{
    std::vector<std::string> hosts; ///< HOST:PORT each, tried in turn.
    std::size_t next = 0;
};

/** How a call ended. */
struct CallResult
{
    ExitCode code = ExitCode::Unreachable;
    long status = 0;
    nlohmann::json body;
};

/** One call of a command. */
struct Call
{
    std::string method;
    std::string path;
    std::string body;
    std::uint64_t timeoutMs = 10000;
    std::uint64_t retryForMs = 15000; ///< How long other hosts are tried and refusals for now are repeated.
};

/** @param text HOST:PORT separated by commas. @return the hosts. */
EntryHosts parseHosts(std::string_view text);

/**
 * Makes a call; a host that does not answer or refuses for now is followed by the next one.
 * Every call of this tool is idempotent by its key or request id, so sending it again is safe.
 * @param hosts where to send it. @param call the call.
 * @return how it ended.
 */
CallResult callAnyHost(EntryHosts &hosts, const Call &call);

/** @param text any text. @return it as a part of a URL. */
std::string escapeUrl(std::string_view text);
}
