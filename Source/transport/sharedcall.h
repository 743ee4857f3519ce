#pragma once

#include "transport/httpserver.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace rosemaryturn::transport
{
/** Makes one call for all threads that ask for the same long response at the same time. They share the response, so that its memory doesn't grow with the
 * number of clients, whether or not these read it. */
class SharedCall
{
public:
    /** Makes a call, or waits for one that another thread begins after this function was entered, so that the response is never older than the request.
     * @param call makes the call. @return its response. */
    HttpResponse run(const std::function<HttpResponse()> &call);

private:
    struct Turn
    {
        std::shared_ptr<const HttpResponse> response; ///< Null until the call has returned.
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::shared_ptr<Turn> m_next; ///< Of the threads that wait for the next call.
    bool m_running = false;
};
}
