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
/** Carries requests of the edge to the control thread and their answers back. */
class Gateway
{
public:
    /** Hands a request to the control thread. Returns false when too many wait there. */
    using Post = std::function<bool(control::Token, wire::RequestT)>;

    /** @param post hands requests over. @param maxWaiters requests that may wait at a time. */
    Gateway(Post post, std::uint64_t maxWaiters);

    /**
     * Sends a request and waits for its answer, on the caller's thread.
     * @param request the request.
     * @return the answer; an error reply when it cannot be had.
     */
    wire::ReplyT call(wire::RequestT request);

    /** Delivers an answer; called on the control thread. @param reply the answer. */
    void deliver(control::TokenReply reply);

    /** @return requests that wait now. */
    std::uint64_t pendingRequests() const;

private:
    Post m_post;
    std::uint64_t m_maxWaiters;
    mutable std::mutex m_mutex;
    std::map<control::Token, std::promise<wire::ReplyT>> m_pending;
    control::Token m_nextToken = 1;
};
}
