#include "transport/asynchttpclient.h"
#include "testing.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace
{
using namespace rosemaryturn;

/** Answers every request on one connection at a time with 200, except the one with a given number, whose connection it closes. Counts the requests. */
class CountingServer
{
public:
    explicit CountingServer(int unanswered = 0)
        : m_unanswered(unanswered)
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CHECK_EQUAL(0, bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)));
        CHECK_EQUAL(0, listen(m_listener, 8));
        socklen_t length = sizeof(address);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] {
            serve();
        });
    }

    ~CountingServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    CountingServer(const CountingServer &) = delete;
    CountingServer &operator=(const CountingServer &) = delete;
    CountingServer(CountingServer &&) = delete;
    CountingServer &operator=(CountingServer &&) = delete;

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(m_port) + "/";
    }

    std::atomic<int> requests{0};

private:
    void serve()
    {
        int connection = 0;
        while ((connection = accept(m_listener, nullptr, nullptr)) >= 0) {
            std::array<char, 4096> buffer{};
            while (recv(connection, buffer.data(), buffer.size(), 0) > 0) {
                if (++requests == m_unanswered) {
                    break;
                }
                const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
            }
            close(connection);
        }
    }

    int m_unanswered; ///< Number of the request that gets no answer; 0 for none.
    int m_listener;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

/** @return the status of a request; 0 if there was no response. */
long statusOf(transport::AsyncHttpClient &client, const std::string &url, std::uint64_t sendBeforeMs, bool sendOnce = false)
{
    auto status = std::make_shared<std::promise<long>>();
    transport::AsyncHttpRequest request;
    request.url = url;
    request.body = "{}";
    request.timeoutMs = 60000;
    request.sendBeforeMs = sendBeforeMs;
    request.sendOnce = sendOnce;
    request.done = [status](long code, const std::string &) {
        status->set_value(code);
    };
    std::vector<transport::AsyncHttpRequest> requests;
    requests.push_back(std::move(request));
    client.post(std::move(requests));
    return status->get_future().get();
}
}

/** A process that was suspended between the decision and the sending of an order must not send it, on a new connection or on an open one. */
TEST_CASE(AsyncHttpClient, ARequestIsNotSentAfterItsTime)
{
    CountingServer server;
    std::atomic<std::uint64_t> clockMs{1000};
    transport::AsyncHttpClient client(2, [&clockMs] {
        return clockMs.load();
    });
    CHECK_EQUAL(0L, statusOf(client, server.url(), 1000));
    CHECK_EQUAL(0, server.requests.load());
    CHECK_EQUAL(200L, statusOf(client, server.url(), 1001));
    clockMs = 2000;
    CHECK_EQUAL(0L, statusOf(client, server.url(), 1900));
    CHECK_EQUAL(1, server.requests.load());
    CHECK_EQUAL(200L, statusOf(client, server.url(), 0));
    CHECK_EQUAL(2, server.requests.load());
    client.stop();
}

/** A start was carried out and its connection lost before the answer. The HTTP library sent it again on a new connection by itself; the refusal of the second
 * copy was taken for that of the only one, and the task was started elsewhere while it was running. */
TEST_CASE(AsyncHttpClient, ARequestIsSentOnceWhenItsConnectionIsLost)
{
    constexpr int lost = 2;
    CountingServer server(lost);
    transport::AsyncHttpClient client(2, [] {
        return std::uint64_t{0};
    });
    CHECK_EQUAL(200L, statusOf(client, server.url(), 0, true));
    CHECK_EQUAL(0L, statusOf(client, server.url(), 0, true)); // On the connection of the first request.
    CHECK_EQUAL(lost, server.requests.load());
    CHECK_EQUAL(200L, statusOf(client, server.url(), 0, true));
    CHECK_EQUAL(lost + 1, server.requests.load());
    client.stop();
}
