#include "transport/gateway.h"

#include "model/reason.h"
#include "telemetry/metrics.h"
#include "transport/clienttable.h"

#include <chrono>
#include <utility>

namespace rosemaryturn::transport
{
namespace
{
/** Added to the request's wait. The control thread replies to every request by its deadline; the margin covers a stopped control thread. */
constexpr std::uint64_t responseMarginMs = 15000;

wire::ReplyT refusedReply(model::Reason reason)
{
    telemetry::refusalCounters().count(reason);
    wire::ReplyT reply;
    reply.error = static_cast<std::uint16_t>(reason);
    return reply;
}
}

Gateway::Gateway(Post post, std::uint64_t maxWaiters)
    : m_post(std::move(post))
    , m_maxWaiters(maxWaiters)
{
}

wire::ReplyT Gateway::call(wire::RequestT request)
{
    // The body has been parsed; the wait for the reply needs no memory for its parsed form.
    ParsePermit::releaseJson();
    std::future<wire::ReplyT> answer;
    control::Token token = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_pending.size() >= m_maxWaiters) {
            return refusedReply(model::Reason::TooManyWaiters);
        }
        token = m_nextToken++;
        answer = m_pending[token].get_future();
    }
    const std::uint64_t timeoutMs = request.waitMs + responseMarginMs;
    const bool queued = m_post(token, std::move(request));
    const bool answered = queued && answer.wait_for(std::chrono::milliseconds(timeoutMs)) == std::future_status::ready;
    const std::lock_guard lock(m_mutex);
    if (answered || answer.wait_for(std::chrono::seconds(0)) == std::future_status::ready) {
        return answer.get();
    }
    m_pending.erase(token);
    return refusedReply(queued ? model::Reason::HomeSilent : model::Reason::QueueFull);
}

void Gateway::deliver(control::TokenReply reply)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pending.find(reply.token);
    if (found == m_pending.end()) {
        return;
    }
    found->second.set_value(std::move(reply.reply));
    m_pending.erase(found);
}

std::uint64_t Gateway::pendingRequests() const
{
    const std::lock_guard lock(m_mutex);
    return m_pending.size();
}
}
