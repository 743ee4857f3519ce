#include "config/jsonreader.h"
#include "config/memorymeter.h"
#include "testing.h"

#include <malloc.h>

#include <string>
#include <vector>

namespace
{
using namespace rosemaryturn;

std::string repeated(const std::string &part, std::size_t size)
{
    std::string text = "[" + part;
    while (text.size() < size) {
        text += "," + part;
    }
    return text + "]";
}

std::uint64_t allocatedBytes()
{
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

/** Memory of a few errors, which isn't counted. */
constexpr std::uint64_t errorBytes = 1024;

/** @return whether a text could be parsed with a number of bytes; the meter then shows what was counted. */
bool parses(const std::string &text, std::uint64_t maxBytes, config::MemoryMeter &meter)
{
    std::vector<config::FieldError> errors;
    meter.grow = [&](std::uint64_t bytes) {
        return meter.grantedBytes + bytes <= maxBytes;
    };
    config::setThreadMeter(&meter);
    const std::uint64_t before = allocatedBytes();
    const nlohmann::json value = config::parseJson(text, errors);
    const std::uint64_t after = allocatedBytes();
    config::setThreadMeter(nullptr);
    CHECK(after <= before + meter.jsonBytes + errorBytes);
    CHECK_EQUAL(value.is_discarded(), !errors.empty());
    return errors.empty();
}
}

// Guards against a shape of a body whose parsed form takes more memory than is counted for it.
TEST_CASE(JsonReader, TheMemoryOfEachShapeIsCounted)
{
    const std::string deep = std::string(20, '[') + std::string(20, ']');
    const std::string longText = "\"" + std::string(100, 'x') + "\"";
    for (const std::string &part : {std::string("{}"),
                                    std::string("[]"),
                                    std::string("[[]]"),
                                    deep,
                                    std::string("0"),
                                    std::string("\"\""),
                                    longText,
                                    std::string(R"({"a":0,"b":[],"c":{"d":""}})")}) {
        for (const std::size_t size : {100U, 4000U, 5000U, 300000U}) {
            config::MemoryMeter meter;
            CHECK(parses(repeated(part, size), UINT64_MAX / 2, meter));
        }
    }
}

TEST_CASE(JsonReader, ParsingEndsWhereTheMemoryDoes)
{
    config::MemoryMeter meter;
    CHECK(!parses(repeated("{}", 300000), 1U << 20U, meter));
    CHECK(meter.exceeded);
    CHECK(meter.grantedBytes <= 1U << 20U);
    config::MemoryMeter enough;
    CHECK(parses(repeated("0", 300000), 16U << 20U, enough));
}

// Guards against the parser's own memory for each open array, which is needed before any value is complete.
TEST_CASE(JsonReader, DeepTextIsRefusedUnparsed)
{
    config::MemoryMeter meter;
    CHECK(!parses(std::string(1U << 20U, '['), UINT64_MAX / 2, meter));
    CHECK_EQUAL(std::uint64_t{0}, meter.jsonBytes);
    CHECK(parses(R"(["[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"[[[["])", UINT64_MAX / 2, meter));
}
