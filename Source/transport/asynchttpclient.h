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
/** A call to make. */
struct AsyncHttpRequest
{
    std::string method = "POST";
    std::string url;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::uint64_t timeoutMs = 1000; ///< Of the whole call.
    std::function<void(long status, std::string body)> done; ///< Status 0 when no answer came; called on the client's thread.
};

/**
 * Makes many HTTP calls at a time on one thread, over kept connections.
 *
 * A call that misses its time closes its connection, so a connection that went silent is used for one call at most.
 */
class AsyncHttpClient
{
public:
    /** @param connectionsPerHost connections that may be open to one address. */
    explicit AsyncHttpClient(long connectionsPerHost);
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient &) = delete;
    AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

    /** Queues calls. @param calls the calls. */
    void post(std::vector<AsyncHttpRequest> calls);
    /** Ends the thread; open calls get no answer. */
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};
}
