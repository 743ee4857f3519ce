#include "config/settings.h"
#include "model/reason.h"
#include "telemetry/event.h"
#include "telemetry/linelimit.h"
#include "telemetry/metrics.h"
#include "testing.h"

#include <fstream>
#include <iterator>
#include <set>

namespace
{
using namespace rosemaryturn;

std::string readPage(const std::string &name)
{
    std::ifstream stream(std::string(ROSEMARYTURN_ROOT) + "/docs/" + name);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

std::size_t countRows(const std::string &text, const std::string &start)
{
    std::size_t count = 0;
    for (std::size_t at = text.find("\n" + start); at != std::string::npos; at = text.find("\n" + start, at + 1)) {
        ++count;
    }
    return count;
}
}

TEST_CASE(Docs, ListEveryEventAndNoOther)
{
    const std::string text = readPage("EVENTS.md");
    for (const telemetry::EventInfo &info : telemetry::allEvents()) {
        const std::string row = "| RT-" + std::to_string(static_cast<int>(info.event)) + " | " + std::string(info.name) + " | ";
        CPPUNIT_ASSERT_MESSAGE(row, text.find(row) != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(std::string(info.text), text.find(info.text) != std::string::npos);
    }
    CHECK_EQUAL(telemetry::allEvents().size(), countRows(text, "| RT-"));
}

TEST_CASE(Docs, ListEverySettingWithItsRange)
{
    const std::string text = readPage("SETTINGS.md");
    for (const auto &table : {config::timingTable(), config::limitTable()}) {
        for (const config::SettingInfo &info : table) {
            const std::string row = "| " + std::string(info.name) + " | " + std::to_string(info.range.min) + " | " + std::to_string(info.range.max) + " | "
                + std::to_string(info.range.defaultValue) + " | " + std::string(info.help);
            CPPUNIT_ASSERT_MESSAGE(row, text.find(row) != std::string::npos);
        }
    }
}

TEST_CASE(Docs, TellAnOperatorAboutEveryReason)
{
    const std::string text = readPage("OPERATIONS.md");
    for (const model::ReasonInfo &info : model::allReasons()) {
        const std::string row = "| " + std::string(info.name) + " | " + std::to_string(info.httpStatus) + " | ";
        CPPUNIT_ASSERT_MESSAGE(row, info.reason == model::Reason::None || text.find(row) != std::string::npos);
    }
}

TEST_CASE(Reason, EachHasItsRowNameAndCounter)
{
    std::set<std::string_view> names;
    telemetry::Metrics metrics;
    std::size_t position = 0;
    for (const model::ReasonInfo &info : model::allReasons()) {
        CHECK_EQUAL(position++, static_cast<std::size_t>(info.reason));
        CHECK(names.insert(info.name).second);
        count(metrics, info.reason);
        CHECK_EQUAL(std::uint64_t{1}, metrics.reasons.at(static_cast<std::size_t>(info.reason)));
    }
}

TEST_CASE(Event, LineHasNumberNameAndQuotedFields)
{
    CHECK_TEXT("RT-1002 ready host=h1 note=\"a b\"", telemetry::formatEvent(telemetry::Event::Ready, {{"host", "h1"}, {"note", "a\nb"}}));
}

// Guards against lines that hold all that a client sent, thousands of which wait while the output is read slowly.
TEST_CASE(Event, LongValuesAreCutOff)
{
    const std::string path(30000, 'p');
    CHECK(telemetry::formatEvent(telemetry::Event::Decision, {{"decision", "given-up"}, {"id", path}, {"", "path=" + path}}).size() < 5000);
}

TEST_CASE(LineLimit, CountsLinesAboveTheRate)
{
    telemetry::LineLimit limit(2);
    CHECK(limit.admit(1000));
    CHECK(limit.admit(1100));
    CHECK(!limit.admit(1200));
    CHECK(limit.admit(2000));
    CHECK_EQUAL(std::uint64_t{1}, limit.takeDroppedCount());
    CHECK_EQUAL(std::uint64_t{0}, limit.takeDroppedCount());
    CHECK_EQUAL(std::uint64_t{1}, limit.dropped());
}
