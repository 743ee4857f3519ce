#include "wire/frame.h"
#include "testing.h"
#include "wire/wireerror.h"

namespace
{
using namespace rosemaryturn::wire;

PeerFrameT heartbeat(std::uint64_t sentMs)
{
    HeartbeatT body;
    body.sentMs = sentMs;
    PeerFrameT frame;
    frame.body.Set(body);
    return frame;
}

HelloT hello(const std::string &cluster, std::uint16_t oldest, std::uint16_t newest)
{
    HelloT message;
    message.cluster = cluster;
    message.oldestVersion = oldest;
    message.newestVersion = newest;
    return message;
}
}

TEST_CASE(Frame, IsReadFromAStreamSplitAtAnyByte)
{
    Bytes stream = encodeFrame(heartbeat(1));
    const Bytes second = encodeFrame(heartbeat(2));
    stream.insert(stream.end(), second.begin(), second.end());
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        FrameReader reader;
        std::error_code error;
        std::vector<std::uint64_t> seen;
        for (const auto &[from, to] : {std::pair<std::size_t, std::size_t>{0, cut}, std::pair<std::size_t, std::size_t>{cut, stream.size()}}) {
            reader.append({stream.data() + from, to - from});
            while (const auto frame = reader.next(error)) {
                seen.push_back(frame->body.AsHeartbeat()->sentMs);
            }
        }
        CHECK(!error);
        CHECK((seen == std::vector<std::uint64_t>{1, 2}));
    }
}

TEST_CASE(Frame, RefusesLengthsAndBodiesOutOfBounds)
{
    struct Row
    {
        Bytes bytes;
        WireError error;
    };
    const Row rows[] = {
        {{0, 0, 0, 0}, WireError::FrameEmpty},
        {{1, 0, 0, 4, 0}, WireError::FrameTooLarge},
        {{255, 255, 255, 255}, WireError::FrameTooLarge},
        {{4, 0, 0, 0, 9, 9, 9, 9}, WireError::Malformed},
    };
    for (const Row &row : rows) {
        FrameReader reader;
        reader.append(row.bytes);
        std::error_code error;
        CHECK(reader.next(error) == nullptr);
        CHECK(error == row.error);
    }
}

TEST_CASE(Frame, RefusesEveryDamagedByteOrDecodesItSafely)
{
    CallT call;
    call.id = 7;
    call.request = std::make_unique<RequestT>();
    call.request->key = "a-key";
    PeerFrameT frame;
    frame.body.Set(std::move(call));
    const Bytes whole = encodeFrame(frame);
    for (std::size_t at = frameHeaderBytes; at < whole.size(); ++at) {
        Bytes damaged = whole;
        damaged[at] ^= 0xFF;
        FrameReader reader;
        reader.append(damaged);
        std::error_code error;
        const auto decoded = reader.next(error);
        CHECK(decoded != nullptr || error == WireError::Malformed);
    }
}

TEST_CASE(Frame, AgreesOnTheNewestCommonVersion)
{
    std::uint16_t version = 0;
    CHECK(!checkHello(hello("c", 1, 1), "c", version));
    CHECK_EQUAL(std::uint16_t{1}, version);
    CHECK(!checkHello(hello("c", 2, 9), "c", version));
    CHECK_EQUAL(newestProtocolVersion, version);
    CHECK(checkHello(hello("c", newestProtocolVersion + 1, 9), "c", version) == WireError::VersionMismatch);
    CHECK(checkHello(hello("c", 0, 0), "c", version) == WireError::VersionMismatch);
    CHECK(checkHello(hello("other", 1, 2), "c", version) == WireError::ClusterMismatch);
}

/** A message of more than a million tables, the default bound of the verifier, was written but counted as malformed when it was read back. */
TEST_CASE(Codec, AMessageOfManyTablesIsReadBack)
{
    constexpr std::size_t tables = 1100000;
    StepStateT step;
    for (std::size_t i = 0; i < tables; ++i) {
        step.tasks.push_back(std::make_unique<TaskStateT>());
    }
    step.tasks.back()->run = 7;
    const Bytes bytes = encode(step);
    const auto decoded = decode<StepStateT>(bytes);
    CHECK(decoded != nullptr);
    CHECK_EQUAL(tables, decoded->tasks.size());
    CHECK_EQUAL(7U, decoded->tasks.back()->run);
    CHECK(decode<StepStateT>(std::span(bytes).first(bytes.size() / 2)) == nullptr);
}
