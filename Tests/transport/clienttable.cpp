#include "transport/clienttable.h"
#include "testing.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <random>
#include <string>
#include <vector>

using namespace rosemaryturn;
using namespace rosemaryturn::transport;
using model::Reason;

namespace
{
constexpr std::uint64_t kilobyte = 1024;
constexpr std::uint64_t longestBody = 256 * kilobyte;

/** A client table with a clock that stands still, and connections whose other ends can be read. */
struct Fixture
{
    std::uint64_t nowMs = 1000;
    ClientTable table;
    std::vector<int> sockets;

    explicit Fixture(const ClientLimits &limits)
        : table(limits, [this] {
            return nowMs;
        })
    {
    }

    ~Fixture()
    {
        for (const int socket : sockets) {
            ::close(socket);
        }
    }

    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;
    Fixture(Fixture &&) = delete;
    Fixture &operator=(Fixture &&) = delete;

    ClientConnection &connect(int server = 1)
    {
        std::array<int, 2> pair{};
        CHECK_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()));
        sockets.insert(sockets.end(), pair.begin(), pair.end());
        return *table.add(server, pair[0]);
    }

    /** Makes a connection that has had a request answered. */
    ClientConnection &connectAndAsk(int server = 1)
    {
        ClientConnection &connection = connect(server);
        table.beginRequest(connection, "/");
        CHECK(table.beginHandling(connection));
        table.beginSending(connection, 1);
        table.endRequest(connection);
        return connection;
    }

    Reason send(ClientConnection &connection, std::uint64_t bytes)
    {
        if (connection.phase == ClientPhase::Connected || connection.phase == ClientPhase::Idle) {
            table.beginRequest(connection, "/");
            table.beginBody(connection, bytes);
        }
        return table.append(connection, std::string(bytes, 'x'), longestBody);
    }

    /** @return what the other end of the latest connection received. */
    std::string received() const
    {
        std::array<char, 1024> text{};
        const ssize_t size = ::recv(sockets.back(), text.data(), text.size(), MSG_DONTWAIT);
        return {text.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
    }
};

ClientLimits smallLimits()
{
    ClientLimits limits;
    limits.maxConnections = 3;
    limits.maxBodyBytes = 400 * kilobyte;
    return limits;
}
}

// Guards against limits that ordinary clients of the smallest hosts reach.
TEST_CASE(ClientTable, LimitsFollowFromMemoryAndDescriptors)
{
    CHECK_EQUAL(std::uint64_t{480}, deriveClientLimits(120, 3075).maxConnections);
    CHECK_EQUAL(std::uint64_t{256}, deriveClientLimits(120, 512).maxConnections);
    CHECK(deriveClientLimits(256, 3075).maxConnections >= 600);
    CHECK(deriveClientLimits(256, 3075).maxBodyBytes >= kilobyte * kilobyte * 5 * 8);
    CHECK(deriveClientLimits(120, 3075).maxBodyBytes >= 60 * longestBody);
}

// Guards against a body that is charged only once it is complete, or not released.
TEST_CASE(ClientTable, BodiesAreChargedFromTheFirstByte)
{
    Fixture fixture(smallLimits());
    ClientConnection &connection = fixture.connect();
    CHECK(fixture.send(connection, 1) == Reason::None);
    CHECK_EQUAL(std::uint64_t{1}, fixture.table.usage().bodyBytes);
    CHECK(fixture.send(connection, 20 * kilobyte) == Reason::None);
    CHECK_EQUAL(20 * kilobyte + 1, fixture.table.usage().bodyBytes);
    CHECK_EQUAL(std::size_t{20 * kilobyte + 1}, connection.body.view().size());
    CHECK(fixture.table.beginHandling(connection));
    fixture.table.beginSending(connection, 10);
    CHECK_EQUAL(std::uint64_t{10}, fixture.table.usage().bodyBytes);
    fixture.table.endRequest(connection);
    CHECK_EQUAL(std::uint64_t{0}, fixture.table.usage().bodyBytes);
}

// Guards against a body of unknown size that is read to its end although it is above the limit.
TEST_CASE(ClientTable, ABodyAboveTheLimitIsCutOff)
{
    Fixture fixture(smallLimits());
    ClientConnection &connection = fixture.connect();
    CHECK(fixture.send(connection, longestBody) == Reason::None);
    CHECK(fixture.send(connection, 1) == Reason::BodyTooLarge);
    CHECK_EQUAL(std::uint64_t{0}, fixture.table.usage().bodyBytes);
    CHECK(!fixture.table.beginHandling(connection));
    CHECK(fixture.received().starts_with("HTTP/1.1 413 "));
}

// Guards against unfinished bodies that keep others out: the one without progress for longest goes, and its request never runs.
TEST_CASE(ClientTable, AtTheBudgetTheOldestIdleBodyIsClosed)
{
    Fixture fixture(smallLimits());
    ClientConnection &older = fixture.connect();
    CHECK(fixture.send(older, 150 * kilobyte) == Reason::None);
    fixture.nowMs += 500;
    ClientConnection &newer = fixture.connect();
    CHECK(fixture.send(newer, 150 * kilobyte) == Reason::None);
    fixture.nowMs += 2000;
    ClientConnection &third = fixture.connect();
    CHECK(fixture.send(third, 100 * kilobyte) == Reason::None);
    CHECK(older.closed);
    CHECK(!newer.closed);
    CHECK(!fixture.table.beginHandling(older));
}

// Guards against a crowd of large bodies, all of which make progress or are being handled, that keeps small requests out.
TEST_CASE(ClientTable, ASmallBodyIsAdmittedBesideLargeOnes)
{
    Fixture fixture(smallLimits());
    ClientConnection &handled = fixture.connect();
    CHECK(fixture.send(handled, 200 * kilobyte) == Reason::None);
    CHECK(fixture.table.beginHandling(handled));
    ClientConnection &active = fixture.connect();
    CHECK(fixture.send(active, 150 * kilobyte) == Reason::None);
    ClientConnection &last = fixture.connect();
    CHECK(fixture.send(last, 100 * kilobyte) == Reason::TooManyBodies);
    CHECK(fixture.received().starts_with("HTTP/1.1 503 "));
    CHECK(!active.closed);
    for (int i = 0; i < 3; ++i) {
        ClientConnection &small = fixture.connect();
        CHECK(fixture.send(small, 16 * kilobyte) == Reason::None);
        CHECK(fixture.table.beginHandling(small));
        fixture.table.remove(&small);
    }
    CHECK(!handled.closed);
}

// Guards against connections that keep a new caller out, and against closing one whose request runs or that belongs to another server.
TEST_CASE(ClientTable, AtTheConnectionLimitIncompleteRequestsGoFirst)
{
    Fixture fixture(smallLimits());
    ClientConnection &readiness = fixture.connectAndAsk(2);
    ClientConnection &idle = fixture.connectAndAsk();
    ClientConnection &incomplete = fixture.connect();
    fixture.table.beginRequest(incomplete, "/");
    fixture.nowMs += 2000;
    ClientConnection &next = fixture.connect();
    CHECK(incomplete.closed);
    CHECK(!idle.closed);
    fixture.table.beginRequest(next, "/");
    CHECK(fixture.table.beginHandling(next));
    CHECK(fixture.connect().closed); // The idle connection may be one between heartbeats.
    CHECK(!idle.closed);
    fixture.nowMs += 3000;
    ClientConnection &last = fixture.connect();
    CHECK(idle.closed);
    CHECK(!next.closed);
    CHECK(!readiness.closed);
    CHECK(!last.closed);
    fixture.table.beginRequest(last, "/");
    CHECK(fixture.table.beginHandling(last));
    const ClientConnection &refused = fixture.connect();
    CHECK(refused.closed);
    CHECK(fixture.received().starts_with("HTTP/1.1 503 "));
    CHECK_EQUAL(std::uint64_t{3}, fixture.table.usage().connections);
}

// Guards against clients that trickle their request line, count as idle and keep callers out until they have been idle for long.
TEST_CASE(ClientTable, ConnectionsWithoutARequestLineMakeRoomAtOnce)
{
    ClientLimits limits = smallLimits();
    limits.maxConnections = 8;
    limits.requestMs = 10000;
    Fixture fixture(limits);
    const ClientConnection &idle = fixture.connectAndAsk();
    const ClientConnection &oldest = fixture.connect();
    const ClientConnection &second = fixture.connect();
    for (int i = 0; i < 5; ++i) {
        fixture.connect();
    }
    ClientConnection &ordinary = fixture.connect();
    CHECK(oldest.closed);
    CHECK(!second.closed);
    fixture.table.beginRequest(ordinary, "/");
    for (int i = 0; i < 20; ++i) {
        CHECK(!fixture.connect().closed);
    }
    CHECK(second.closed);
    CHECK(!idle.closed);
    CHECK(fixture.table.beginHandling(ordinary));
    CHECK_EQUAL(std::uint64_t{8}, fixture.table.usage().connections);
    fixture.nowMs += limits.requestMs;
    fixture.table.expire();
    CHECK_EQUAL(std::uint64_t{2}, fixture.table.usage().connections);
}

// Guards against a client that sends a byte now and then, and against closing idle connections between requests.
TEST_CASE(ClientTable, ARequestThatTakesTooLongIsClosed)
{
    ClientLimits limits = smallLimits();
    limits.requestMs = 10000;
    Fixture fixture(limits);
    const ClientConnection &idle = fixture.connectAndAsk();
    ClientConnection &slow = fixture.connect();
    for (int second = 0; second < 10; ++second) {
        CHECK(fixture.send(slow, 1) == Reason::None);
        fixture.nowMs += 1000;
        fixture.table.expire();
        CHECK(!slow.closed);
    }
    fixture.nowMs += 1000;
    fixture.table.expire();
    CHECK(slow.closed);
    CHECK(fixture.received().starts_with("HTTP/1.1 503 "));
    CHECK(!idle.closed);
}

// Guards against several of the largest bodies on their way to the log at the same time.
TEST_CASE(ClientTable, TheLargestBodiesAreHandledOneAtATime)
{
    ClientLimits limits;
    ClientTable table(limits, [] {
        return std::uint64_t{0};
    });
    constexpr std::uint64_t largest = 5 * kilobyte * kilobyte;
    std::atomic<int> handled{0};
    std::vector<std::thread> clients;
    clients.reserve(4);
    for (int i = 0; i < 4; ++i) {
        clients.emplace_back([&table, &handled] {
            const ParsePermit permit(table, largest);
            CHECK(permit.isGranted());
            ParsePermit::releaseJson();
            CHECK_EQUAL(1, ++handled);
            const ParsePermit small(table, 100);
            CHECK(small.isGranted());
            std::this_thread::yield();
            --handled;
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    CHECK_EQUAL(std::uint64_t{0}, table.usage().parseBytes);
}

// Guards against memory beyond that of the machine, whatever clients send and whatever the jobs of the process take.
TEST_CASE(ClientTable, TheMemoryOfClientsStaysWithinThatOfTheProcess)
{
    constexpr std::uint64_t megabyte = kilobyte * kilobyte;
    constexpr std::uint64_t connectionsPerRound = 40;
    std::minstd_rand random(1);
    for (std::uint64_t memoryMb = 64; memoryMb <= 1024; memoryMb += 64) {
        ClientLimits limits = deriveClientLimits(memoryMb, 4096);
        CHECK(limits.maxBytes + 32 * megabyte <= memoryMb * megabyte);
        CHECK(limits.reservedBytes >= 6 * megabyte && limits.reservedBytes <= limits.maxBytes);
        Fixture fixture(limits);
        std::vector<ClientConnection *> open;
        for (int round = 0; round < 30; ++round) {
            const std::uint64_t takenBytes = random() % (limits.maxBytes + limits.maxBytes / 8);
            fixture.table.setTakenBytes(takenBytes);
            std::uint64_t shortBytes = 0; // Of responses that are always sent.
            for (std::uint64_t i = 0; i < connectionsPerRound; ++i) {
                ClientConnection &connection = fixture.connect();
                const std::uint64_t usedBefore = fixture.table.usage().totalBytes;
                const std::uint64_t bytes = random() % (5 * megabyte);
                fixture.table.beginRequest(connection, "/");
                fixture.table.beginBody(connection, bytes);
                if (fixture.table.append(connection, std::string(bytes, 'x'), 5 * megabyte) == Reason::None) {
                    CHECK(fixture.table.usage().totalBytes
                          <= std::max(usedBefore, limits.maxBytes - std::min(takenBytes, limits.maxBytes - limits.reservedBytes)));
                }
                if (random() % 2 == 0 && fixture.table.beginHandling(connection)) {
                    const std::uint64_t responseBytes = random() % 2 == 0 ? 100 : bytes;
                    const bool sent = fixture.table.beginSending(connection, responseBytes);
                    CHECK(sent || responseBytes > 16 * kilobyte);
                    shortBytes += responseBytes <= 16 * kilobyte ? responseBytes : 0;
                }
                open.push_back(&connection);
                fixture.nowMs += random() % 300;
            }
            CHECK(fixture.table.usage().totalBytes <= limits.maxBytes + shortBytes);
            for (std::size_t i = open.size(); i > connectionsPerRound; --i) {
                fixture.table.remove(open.back());
                open.pop_back();
            }
        }
    }
}

// Guards against responses that nobody reads: they make room for another one, or else it isn't sent.
TEST_CASE(ClientTable, LongResponsesStayWithinTheMemory)
{
    ClientLimits limits = smallLimits();
    limits.maxBytes = 1000 * kilobyte;
    Fixture fixture(limits);
    ClientConnection &unread = fixture.connectAndAsk();
    CHECK(fixture.table.beginSending(unread, 700 * kilobyte));
    ClientConnection &next = fixture.connectAndAsk();
    CHECK(!fixture.table.beginSending(next, 700 * kilobyte));
    CHECK(fixture.table.beginSending(next, 100)); // Short ones, which tell what was done, are always sent.
    CHECK(!unread.closed);
    fixture.nowMs += 2000;
    CHECK(fixture.table.beginSending(next, 700 * kilobyte));
    CHECK(unread.closed);
    CHECK(fixture.table.usage().totalBytes <= limits.maxBytes);
}

// Guards against parsing many large bodies at once, against a body whose shape takes more than there is, and against a body that can never be parsed.
TEST_CASE(ClientTable, LargeBodiesAreParsedWithinTheirBudget)
{
    ClientLimits limits;
    limits.maxBytes = longestBody;
    ClientTable table(limits, [] {
        return std::uint64_t{0};
    });
    {
        const ParsePermit permit(table, longestBody);
        CHECK(permit.isGranted());
        CHECK(table.usage().parseBytes > 0);
        CHECK(config::addRequestMemory(100));
        CHECK(config::addJsonMemory(longestBody / 2));
        CHECK(!permit.isExceeded());
        CHECK(!config::addJsonMemory(longestBody / 2));
        CHECK(permit.isExceeded());
        CHECK(table.usage().totalBytes <= limits.maxBytes);
        ParsePermit::releaseJson();
        ParsePermit::releaseJson();
        CHECK(table.usage().parseBytes > 0); // The request still waits.
        CHECK(table.usage().parseBytes < 1000);
    }
    CHECK_EQUAL(std::uint64_t{0}, table.usage().parseBytes);
    CHECK(ParsePermit(table, 100).isGranted());
    CHECK_EQUAL(std::uint64_t{0}, table.usage().parseBytes);
}
