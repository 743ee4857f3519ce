#pragma once

#include "control/cell.h"
#include "wire/codec.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>

namespace rosemaryturn::transport
{
/** Forwards requests from the HTTP threads to the control thread and returns the replies. */
class Gateway
{
public:
    /** Queues a request for the control thread. Returns false when the queue is full. */
    using Post = std::function<bool(control::Token, wire::RequestT)>;

    /** @param post queues requests for the control thread. @param maxWaiters maximum number of pending requests. */
    Gateway(Post post, std::uint64_t maxWaiters);

    /**
     * Sends a request and blocks the calling thread until the reply arrives.
     * @param request the request.
     * @return the reply; an error reply on overload or timeout.
     */
    wire::ReplyT call(wire::RequestT request);

    /** Completes a pending request; called on the control thread. @param reply the reply and its token. */
    void deliver(control::TokenReply reply);

    /** @return the number of requests that wait for a reply. */
    std::uint64_t pendingRequests() const;

private:
    Post m_post;
    std::uint64_t m_maxWaiters;
    mutable std::mutex m_mutex;
    std::map<control::Token, std::promise<wire::ReplyT>> m_pending;
    control::Token m_nextToken = 1;
};
}
