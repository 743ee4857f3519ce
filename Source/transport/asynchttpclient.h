#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rosemaryturn::transport
{
/** A request to send. */
struct AsyncHttpRequest
{
    std::string method = "POST";
    std::string url;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::uint64_t timeoutMs = 1000; ///< Total time for connecting, sending and receiving.
    std::uint64_t sendBeforeMs = 0; ///< Clock value from which the request is not sent any more; 0 for no limit.
    bool sendOnce = false; ///< Whether the library must not send it again by itself if a reused connection is lost before the response.
    std::function<void(long status, std::string body)> done; ///< Completion callback, invoked on the client's thread; status is 0 when there was no response.
};

/**
 * HTTP client that runs many requests concurrently on one thread and reuses connections.
 *
 * A request that times out closes its connection, so an unresponsive connection is used for at most one request.
 */
class AsyncHttpClient
{
public:
    /** @param connectionsPerHost maximum number of open connections to one address. @param clockMs clock for sendBeforeMs, which also counts the time for which
     * the process is suspended. */
    AsyncHttpClient(long connectionsPerHost, std::function<std::uint64_t()> clockMs);
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient &) = delete;
    AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

    /** Queues requests; thread-safe. @param calls the requests to send. */
    void post(std::vector<AsyncHttpRequest> calls);
    /** Stops the thread. The completion callbacks of unfinished requests are not invoked. */
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};
}
