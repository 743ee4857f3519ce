#include "transport/asynchttpclient.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>

namespace rosemaryturn::transport
{
namespace
{
/** Upper bound of one epoll wait; new requests wake the thread earlier. */
constexpr long maxPollMs = 1000;
constexpr int maxEventsPerPoll = 64;
/** Maximum number of idle easy handles retained for reuse. */
constexpr std::size_t maxIdleHandles = 256;
/** Size of the connection cache over all addresses. */
constexpr long maxCachedConnections = 3500;

/** A request in progress. */
struct Transfer
{
    const std::function<std::uint64_t()> *clockMs = nullptr;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    AsyncHttpRequest call;
    bool sent = false; ///< The request was sent on some connection.
    std::string responseBody;
};

std::size_t appendResponseBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<Transfer *>(target)->responseBody.append(data, size * count);
    return size * count;
}

/** Called when a connection is ready, before the request is sent. A delayed request may reach a process that it isn't meant for. libcurl calls it again before
 * it resends a request whose reused connection was closed without a response. */
int checkSending(void *target, char *, char *, int, int)
{
    auto &transfer = *static_cast<Transfer *>(target);
    const bool tooLate = transfer.call.sendBeforeMs > 0 && (*transfer.clockMs)() >= transfer.call.sendBeforeMs;
    const bool resent = transfer.call.sendOnce && transfer.sent;
    transfer.sent = true;
    return tooLate || resent ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}
}

struct AsyncHttpClient::Implementation
{
    std::function<std::uint64_t()> clockMs;
    CURLM *multi = nullptr;
    int epoll = -1;
    int wake = -1;
    long timerMs = -1;
    std::mutex mutex;
    std::vector<AsyncHttpRequest> queue;
    std::atomic<bool> stopping{false};
    std::map<CURL *, std::unique_ptr<Transfer>> activeTransfers;
    std::vector<CURL *> idle;
    std::thread thread;

    static int watchSocket(CURL *, curl_socket_t socket, int what, void *self, void *assigned)
    {
        auto &client = *static_cast<Implementation *>(self);
        if (what == CURL_POLL_REMOVE) {
            epoll_ctl(client.epoll, EPOLL_CTL_DEL, socket, nullptr);
            curl_multi_assign(client.multi, socket, nullptr);
            return 0;
        }
        epoll_event event{};
        event.data.fd = socket;
        event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
        epoll_ctl(client.epoll, assigned == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
        curl_multi_assign(client.multi, socket, self);
        return 0;
    }

    static int setTimer(CURLM *, long timeoutMs, void *self)
    {
        static_cast<Implementation *>(self)->timerMs = timeoutMs;
        return 0;
    }

    CURL *acquireHandle()
    {
        if (idle.empty()) {
            return curl_easy_init();
        }
        CURL *easy = idle.back();
        idle.pop_back();
        curl_easy_reset(easy);
        return easy;
    }

    void startTransfer(AsyncHttpRequest call)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->call = std::move(call);
        transfer->clockMs = &clockMs;
        transfer->easy = acquireHandle();
        for (const auto &[name, value] : transfer->call.headers) {
            std::string line = name;
            line.append(": ").append(value);
            transfer->headers = curl_slist_append(transfer->headers, line.c_str());
        }
        transfer->headers = curl_slist_append(transfer->headers, "Expect:"); // Avoids the extra round trip of "100 Continue" for large bodies.
        CURL *easy = transfer->easy;
        curl_easy_setopt(easy, CURLOPT_URL, transfer->call.url.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, transfer->call.method.c_str());
        if (!transfer->call.body.empty()) {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->call.body.data());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(transfer->call.body.size()));
        }
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, appendResponseBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(transfer->call.timeoutMs));
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(transfer->call.timeoutMs));
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, checkSending);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        activeTransfers.emplace(easy, std::move(transfer));
        curl_multi_add_handle(multi, easy);
    }

    void finishTransfer(CURL *easy, CURLcode code)
    {
        long status = 0;
        if (code == CURLE_OK) {
            curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        }
        curl_multi_remove_handle(multi, easy);
        const auto found = activeTransfers.find(easy);
        const std::unique_ptr<Transfer> transfer = std::move(found->second);
        activeTransfers.erase(found);
        curl_slist_free_all(transfer->headers);
        if (idle.size() < maxIdleHandles) {
            idle.push_back(easy);
        } else {
            curl_easy_cleanup(easy);
        }
        transfer->call.done(status, std::move(transfer->responseBody));
    }

    void finishCompleted()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(multi, &left)) {
            if (message->msg == CURLMSG_DONE) {
                finishTransfer(message->easy_handle, message->data.result);
            }
        }
    }

    void startQueued()
    {
        std::vector<AsyncHttpRequest> calls;
        {
            const std::lock_guard lock(mutex);
            calls.swap(queue);
        }
        for (AsyncHttpRequest &call : calls) {
            startTransfer(std::move(call));
        }
    }

    void run()
    {
        std::array<epoll_event, maxEventsPerPoll> events{};
        while (!stopping) {
            const long waitMs = timerMs < 0 ? maxPollMs : std::min(timerMs, maxPollMs);
            const int count = epoll_wait(epoll, events.data(), maxEventsPerPoll, static_cast<int>(waitMs));
            int running = 0;
            for (int i = 0; i < count; ++i) {
                const epoll_event &event = events[static_cast<std::size_t>(i)];
                if (event.data.fd == wake) {
                    eventfd_t drained = 0;
                    eventfd_read(wake, &drained);
                    continue;
                }
                const unsigned in = (event.events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 ? CURL_CSELECT_IN : 0U;
                const unsigned out = (event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0U;
                curl_multi_socket_action(multi, event.data.fd, static_cast<int>(in | out), &running);
            }
            startQueued();
            if (count <= 0 || timerMs == 0) { // libcurl requests a timer of 0 to start new transfers.
                timerMs = -1;
                curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running);
            }
            finishCompleted();
        }
    }
};

AsyncHttpClient::AsyncHttpClient(long connectionsPerHost, std::function<std::uint64_t()> clockMs)
    : m_implementation(std::make_unique<Implementation>())
{
    Implementation &client = *m_implementation;
    client.clockMs = std::move(clockMs);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    client.epoll = epoll_create1(EPOLL_CLOEXEC);
    client.wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = client.wake;
    epoll_ctl(client.epoll, EPOLL_CTL_ADD, client.wake, &event);
    client.multi = curl_multi_init();
    curl_multi_setopt(client.multi, CURLMOPT_SOCKETFUNCTION, &Implementation::watchSocket);
    curl_multi_setopt(client.multi, CURLMOPT_SOCKETDATA, &client);
    curl_multi_setopt(client.multi, CURLMOPT_TIMERFUNCTION, &Implementation::setTimer);
    curl_multi_setopt(client.multi, CURLMOPT_TIMERDATA, &client);
    curl_multi_setopt(client.multi, CURLMOPT_MAX_HOST_CONNECTIONS, connectionsPerHost);
    curl_multi_setopt(client.multi, CURLMOPT_MAXCONNECTS, maxCachedConnections);
    client.thread = std::thread([&client] {
        client.run();
    });
}

AsyncHttpClient::~AsyncHttpClient()
{
    stop();
}

void AsyncHttpClient::post(std::vector<AsyncHttpRequest> calls)
{
    {
        const std::lock_guard lock(m_implementation->mutex);
        for (AsyncHttpRequest &call : calls) {
            m_implementation->queue.push_back(std::move(call));
        }
    }
    eventfd_write(m_implementation->wake, 1);
}

void AsyncHttpClient::stop()
{
    Implementation &client = *m_implementation;
    client.stopping = true;
    if (!client.thread.joinable()) {
        return;
    }
    eventfd_write(client.wake, 1);
    client.thread.join();
    for (auto &[easy, transfer] : client.activeTransfers) {
        curl_multi_remove_handle(client.multi, easy);
        curl_slist_free_all(transfer->headers);
        curl_easy_cleanup(easy);
    }
    client.activeTransfers.clear();
    for (CURL *easy : client.idle) {
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(client.multi);
    ::close(client.epoll);
    ::close(client.wake);
}
}
