#include "transport/peernetwork.h"
#include "testing.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <thread>

namespace
{
using namespace rosemaryturn;

std::uint16_t freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK_EQUAL(0, bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)));
    socklen_t length = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    close(descriptor);
    return ntohs(address.sin_port);
}

config::Settings settingsOf(const std::string &self, std::uint16_t portA, std::uint16_t portB)
{
    config::Settings settings;
    settings.cluster = "c";
    settings.host = self;
    settings.hosts = {{"a", "d1", "127.0.0.1", portA, 1, true}, {"b", "d2", "127.0.0.1", portB, 1, true}};
    settings.timing.peerSilenceMs = 300;
    return settings;
}

/** Records peer events and waits for them. There is no timeout here; the CTest timeout ends a hanging test. */
struct EventRecorder
{
    transport::PeerHandlers handlers()
    {
        transport::PeerHandlers result;
        result.call = [this](const std::string &, std::uint64_t id, const wire::RequestT &request) {
            record("call " + std::to_string(id) + " " + request.key);
        };
        result.reply = [this](std::uint64_t id, const wire::ReplyT &) {
            record("reply " + std::to_string(id));
        };
        result.message = [this](const wire::ConsensusMessageT &message) {
            record("message " + message.group);
        };
        result.peer = [this](const std::string &peer, const control::PeerState &state) {
            record(peer + (state.connected ? " up " + std::to_string(state.incarnation) : " down"));
        };
        return result;
    }

    void record(const std::string &text)
    {
        const std::lock_guard lock(mutex);
        events.push_back(text);
        changed.notify_all();
    }

    void waitFor(const std::string &text)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] {
            return std::find(events.begin(), events.end(), text) != events.end();
        });
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> events;
};

wire::PeerFrameT callFrame(const std::string &key)
{
    wire::CallT call;
    call.id = 5;
    call.request = std::make_unique<wire::RequestT>();
    call.request->key = key;
    wire::PeerFrameT frame;
    frame.body.Set(std::move(call));
    return frame;
}
}

TEST_CASE(PeerNetwork, CarriesFramesBothWays)
{
    const std::uint16_t portA = freePort();
    const std::uint16_t portB = freePort();
    EventRecorder a;
    EventRecorder b;
    transport::PeerNetwork networkA(settingsOf("a", portA, portB), 11, a.handlers());
    transport::PeerNetwork networkB(settingsOf("b", portA, portB), 22, b.handlers());
    CHECK(!networkA.start());
    CHECK(!networkB.start());
    a.waitFor("b up 22");
    b.waitFor("a up 11");
    networkA.send("b", callFrame("from a"));
    networkB.send("a", callFrame("from b"));
    b.waitFor("call 5 from a");
    a.waitFor("call 5 from b");
    CHECK(networkA.totals().bytesAcross > 0);
    CHECK_EQUAL(std::uint64_t{0}, networkA.totals().bytesWithin);
}

TEST_CASE(PeerNetwork, ReplacesAConnectionThatGoesSilent)
{
    const std::uint16_t portA = freePort();
    const std::uint16_t portB = freePort();
    // A socket on b's port whose connections the kernel accepts, but which never sends any data.
    const int silent = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(silent, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(portB);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK_EQUAL(0, bind(silent, reinterpret_cast<sockaddr *>(&address), sizeof(address)));
    CHECK_EQUAL(0, listen(silent, 16));
    EventRecorder a;
    transport::PeerNetwork networkA(settingsOf("a", portA, portB), 11, a.handlers());
    CHECK(!networkA.start());
    while (networkA.totals().connectionsRetired < 2) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    close(silent);
    EventRecorder b;
    transport::PeerNetwork networkB(settingsOf("b", portA, portB), 22, b.handlers());
    while (networkB.start()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    a.waitFor("b up 22");
}

TEST_CASE(PeerNetwork, RefusesAnotherClusterAndStrangeBytes)
{
    const std::uint16_t portA = freePort();
    const std::uint16_t portB = freePort();
    EventRecorder a;
    EventRecorder b;
    transport::PeerNetwork networkA(settingsOf("a", portA, portB), 11, a.handlers());
    CHECK(!networkA.start());
    for (const std::string &bytes : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(64, '\0'), std::string(64, '\xff')}) {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(portA);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CHECK_EQUAL(0, connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)));
        CHECK(send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
        char byte = 0;
        CHECK(recv(descriptor, &byte, 1, 0) <= 0);
        close(descriptor);
    }
    config::Settings other = settingsOf("b", portA, portB);
    other.cluster = "other";
    {
        transport::PeerNetwork otherCluster(other, 22, b.handlers());
        CHECK(!otherCluster.start());
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    transport::PeerNetwork networkB(settingsOf("b", portA, portB), 33, b.handlers());
    CHECK(!networkB.start());
    a.waitFor("b up 33");
    CHECK(std::find(a.events.begin(), a.events.end(), "b up 22") == a.events.end());
}
