#include "config/settings.h"
#include "testing.h"

namespace
{
using namespace rosemaryturn;

std::string settingsWith(const std::string &extra, const std::string &host = R"({"id":"h1","dataCentre":"d","address":"127.0.0.1","peerPort":1,"httpPort":2})")
{
    return R"({"cluster":"c","host":"h1","dataFolder":"x","hosts":[)" + host + "]" + extra + "}";
}
}

TEST_CASE(Settings, TakesAFullSetWithDefaults)
{
    std::vector<config::FieldError> errors;
    const auto settings = config::parseSettings(settingsWith(""), errors);
    CHECK(settings.has_value());
    CHECK_EQUAL(std::uint64_t{5000}, settings->timing.taskLeaseMs);
    CHECK_TEXT("production", settings->environment);
}

TEST_CASE(Settings, NamesPlaceAndRemedyOfEveryMistake)
{
    struct Row
    {
        std::string text;
        std::string pointer;
        model::Reason reason;
    };
    const Row rows[] = {
        {"{", "", model::Reason::MalformedJson},
        {"[]", "", model::Reason::WrongType},
        {settingsWith(R"(,"unknown":1)"), "/unknown", model::Reason::UnknownField},
        {settingsWith(R"(,"timing":{"heartbeat":1})"), "/timing/heartbeat", model::Reason::UnknownField},
        {settingsWith(R"(,"timing":{"heartbeatMs":-1})"), "/timing/heartbeatMs", model::Reason::OutOfRange},
        {settingsWith(R"(,"timing":{"heartbeatMs":1.5})"), "/timing/heartbeatMs", model::Reason::OutOfRange},
        {settingsWith(R"(,"timing":{"heartbeatMs":"150"})"), "/timing/heartbeatMs", model::Reason::WrongType},
        {settingsWith(R"(,"timing":{"leaderLeaseMs":1000})"), "/timing/leaderLeaseMs", model::Reason::OutOfRange},
        {settingsWith(R"(,"timing":{"announceMs":4000})"), "/timing/announceMs", model::Reason::OutOfRange},
        {settingsWith(R"(,"logLevel":"loud")"), "/logLevel", model::Reason::OutOfRange},
        {settingsWith("", R"({"id":"h1","dataCentre":"d","address":"localhost","peerPort":1,"httpPort":2})"), "/hosts/0/address", model::Reason::OutOfRange},
        {settingsWith("", R"({"id":"h1","dataCentre":"d","address":"127.0.0.1","peerPort":70000,"httpPort":2})"),
         "/hosts/0/peerPort",
         model::Reason::OutOfRange},
        {settingsWith("", R"({"id":"h2","dataCentre":"d","address":"127.0.0.1","peerPort":1,"httpPort":2})"), "/host", model::Reason::OutOfRange},
        {settingsWith("", R"({"id":"h1","dataCentre":"d","address":"127.0.0.1","peerPort":1,"httpPort":2,"durable":false})"),
         "/dataFolder",
         model::Reason::OutOfRange},
    };
    for (const Row &row : rows) {
        std::vector<config::FieldError> errors;
        CHECK(!config::parseSettings(row.text, errors));
        CHECK(!errors.empty());
        CHECK_TEXT(row.pointer, errors.front().pointer);
        CHECK(errors.front().reason == row.reason);
        CHECK(!errors.front().remedy.empty());
    }
}

TEST_CASE(Settings, TellsAllMistakesAtOnce)
{
    std::vector<config::FieldError> errors;
    config::parseSettings(R"({"a":1,"b":2})", errors);
    CHECK(errors.size() >= 5);
}
