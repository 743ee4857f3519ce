#include "transport/sharedcall.h"

#include <utility>

namespace rosemaryturn::transport
{
namespace
{
HttpResponse shareBody(const std::shared_ptr<const HttpResponse> &response)
{
    HttpResponse copy;
    copy.status = response->status;
    copy.retryAfterMs = response->retryAfterMs;
    copy.contentType = response->contentType;
    copy.sharedBody = std::shared_ptr<const std::string>(response, &response->body);
    return copy;
}
}

HttpResponse SharedCall::run(const std::function<HttpResponse()> &call)
{
    std::unique_lock lock(m_mutex);
    if (!m_next) {
        m_next = std::make_shared<Turn>();
    }
    const std::shared_ptr<Turn> turn = m_next;
    m_changed.wait(lock, [this, &turn] {
        return turn->response || !m_running;
    });
    if (!turn->response) {
        m_running = true;
        m_next.reset();
        lock.unlock();
        auto response = std::make_shared<const HttpResponse>(call());
        lock.lock();
        turn->response = std::move(response);
        m_running = false;
        m_changed.notify_all();
    }
    return shareBody(turn->response);
}
}
