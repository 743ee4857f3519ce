#include "cli/entryhosts.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <thread>

namespace rosemaryturn::cli
{
namespace
{
constexpr std::chrono::milliseconds retryPause{200};
constexpr long firstErrorStatus = 400;

bool isRetryable(const CallResult &result)
{
    return result.code == ExitCode::Unreachable || result.code == ExitCode::RefusedForNow;
}

CallResult callHost(const std::string &host, const Call &call)
{
    transport::HttpRequest request{call.method, "http://" + host + call.path, call.body, call.timeoutMs};
    std::error_code error;
    const transport::HttpResult answer = transport::callHttp(request, error);
    CallResult result;
    if (error) {
        return result;
    }
    result.status = answer.status;
    result.body = nlohmann::json::parse(answer.body, nullptr, false);
    if (result.body.is_discarded()) {
        return result;
    }
    if (answer.status < firstErrorStatus) {
        result.code = ExitCode::Success;
        return result;
    }
    const bool isRetryableRefusal = result.body.contains("error") && result.body["error"].value("retry", "never") == "later";
    result.code = isRetryableRefusal ? ExitCode::RefusedForNow : ExitCode::Refused;
    return result;
}
}

EntryHosts parseHosts(std::string_view text)
{
    EntryHosts hosts;
    std::istringstream stream{std::string(text)};
    for (std::string host; std::getline(stream, host, ',');) {
        if (!host.empty()) {
            hosts.addresses.push_back(host);
        }
    }
    return hosts;
}

CallResult callAnyHost(EntryHosts &hosts, const Call &call)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(call.retryForMs);
    CallResult result;
    while (!hosts.addresses.empty()) {
        result = callHost(hosts.addresses[hosts.nextIndex % hosts.addresses.size()], call);
        if (!isRetryable(result)) {
            return result;
        }
        ++hosts.nextIndex;
        if (std::chrono::steady_clock::now() >= deadline) {
            return result;
        }
        std::this_thread::sleep_for(retryPause);
    }
    return result;
}

std::string escapeUrl(std::string_view text)
{
    constexpr std::string_view hexDigits = "0123456789ABCDEF";
    constexpr unsigned nibbleBits = 4;
    constexpr unsigned nibbleMask = 0xF;
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.' || character == ':' || character == '@') {
            result += character;
        } else {
            result += '%';
            result += hexDigits[byte >> nibbleBits];
            result += hexDigits[byte & nibbleMask];
        }
    }
    return result;
}
}
