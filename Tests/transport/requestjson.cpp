#include "transport/requestjson.h"
#include "telemetry/metrics.h"
#include "testing.h"

#include <functional>

namespace
{
using namespace rosemaryturn;
using model::Reason;

struct RejectedBody
{
    std::string body;
    std::string pointer;
    Reason reason;
};

void checkRejected(const std::vector<RejectedBody> &cases, const std::function<void(const std::string &, std::vector<config::FieldError> &)> &read)
{
    for (const RejectedBody &rejected : cases) {
        std::vector<config::FieldError> errors;
        read(rejected.body, errors);
        CPPUNIT_ASSERT_MESSAGE(rejected.body.substr(0, 80), !errors.empty());
        const std::uint64_t before = telemetry::refusalCounters().value(rejected.reason);
        transport::refusal(errors);
        CHECK_EQUAL(before + 1, telemetry::refusalCounters().value(rejected.reason));
        CHECK_TEXT(rejected.pointer, errors.front().pointer);
        CHECK_EQUAL(static_cast<int>(rejected.reason), static_cast<int>(errors.front().reason));
    }
}
}

TEST_CASE(RequestJson, RefusesBadSubmissions)
{
    const std::string deep = R"({"key":)" + std::string(100, '[') + std::string(100, ']') + "}";
    checkRejected(
        {
            {"", "", Reason::MalformedJson},
            {"{", "", Reason::MalformedJson},
            {"null", "", Reason::WrongType},
            {"[]", "", Reason::WrongType},
            {deep, "", Reason::MalformedJson},
            {"{\"key\":\"\xff\"}", "", Reason::MalformedJson},
            {R"({"service":"s"})", "/key", Reason::MissingField},
            {R"({"key":"k"})", "/service", Reason::MissingField},
            {R"({"key":"","service":"s"})", "/key", Reason::OutOfRange},
            {R"({"key":"a b","service":"s"})", "/key", Reason::BadKey},
            {R"({"key":"a@","service":"s"})", "/key", Reason::BadKey},
            {R"({"key":"a@b@c","service":"s"})", "/key", Reason::BadKey},
            {R"({"key":")" + std::string(201, 'k') + R"(","service":"s"})", "/key", Reason::OutOfRange},
            {R"({"key":7,"service":"s"})", "/key", Reason::WrongType},
            {R"({"key":"k","service":"s","extra":1})", "/extra", Reason::UnknownField},
            {R"({"key":"k","service":"s","cpuMillis":-1})", "/cpuMillis", Reason::OutOfRange},
            {R"({"key":"k","service":"s","cpuMillis":0})", "/cpuMillis", Reason::OutOfRange},
            {R"({"key":"k","service":"s","cpuMillis":1.5})", "/cpuMillis", Reason::OutOfRange},
            {R"({"key":"k","service":"s","cpuMillis":1e300})", "/cpuMillis", Reason::OutOfRange},
            {R"({"key":"k","service":"s","cpuMillis":18446744073709551616})", "/cpuMillis", Reason::OutOfRange},
            {R"({"key":"k","service":"s","memoryMb":NaN})", "", Reason::MalformedJson},
            {R"({"key":"k","service":"s","memoryMb":"1"})", "/memoryMb", Reason::WrongType},
            {R"({"key":"k","service":"s","idempotent":"yes"})", "/idempotent", Reason::WrongType},
            {R"({"key":"k","service":"s","gangSize":100000})", "/gangSize", Reason::OutOfRange},
            {R"({"key":"k","service":"s","waitMs":999999999})", "/waitMs", Reason::OutOfRange},
            {R"({"key":"k","service":"s","payloadBase64":"***"})", "/payloadBase64", Reason::OutOfRange},
        },
        [](const std::string &body, std::vector<config::FieldError> &errors) {
            transport::readSubmission(body, "production", errors);
        });
}

TEST_CASE(RequestJson, RefusesBadAnnouncementsResultsChangesAndVerdicts)
{
    const std::string shape = R"("number":1,"incarnation":1,"address":"127.0.0.1","port":1,"cpuMillis":1,"memoryMb":1,"slots":1)";
    checkRejected(
        {
            {"{}", "/number", Reason::MissingField},
            {"{" + shape + R"(,"slots2":1})", "/slots2", Reason::UnknownField},
            {"{" + shape + R"(,"running":[{"task":1}]})", "/running/0/attempt", Reason::MissingField},
            {"{" + shape + R"(,"running":[7]})", "/running/0", Reason::WrongType},
            {"{" + shape + R"(,"leaving":1})", "/leaving", Reason::WrongType},
        },
        [](const std::string &body, std::vector<config::FieldError> &errors) {
            transport::readAnnouncement(body, "w", errors);
        });
    checkRejected(
        {
            {R"({"results":[{"task":1,"attempt":1,"length":0,"checksum":7}]})", "/results/0/checksum", Reason::WrongType},
            {R"({"results":[{"task":1,"attempt":1,"length":0,"checksum":"-7"}]})", "/results/0/checksum", Reason::OutOfRange},
            {R"({"results":[{"task":1,"attempt":1,"checksum":"7"}]})", "/results/0/length", Reason::MissingField},
        },
        [](const std::string &body, std::vector<config::FieldError> &errors) {
            transport::readResults(body, "w", errors);
        });
    checkRejected(
        {
            {R"({"requestId":"r"})", "/expectedRevision", Reason::MissingField},
            {R"({"requestId":"r","expectedRevision":0})", "/document", Reason::MissingField},
            {R"({"requestId":"r","expectedRevision":0,"document":{},"rollbackTo":1})", "/document", Reason::MissingField},
            {R"({"requestId":"r","expectedRevision":0,"document":"text"})", "/document", Reason::WrongType},
        },
        [](const std::string &body, std::vector<config::FieldError> &errors) {
            transport::readConfigChange(body, "production", errors);
        });
    checkRejected(
        {
            {R"({"worker":"w","sequence":1})", "/down", Reason::MissingField},
            {R"({"worker":"w","sequence":0,"down":true})", "/sequence", Reason::OutOfRange},
        },
        [](const std::string &body, std::vector<config::FieldError> &errors) {
            transport::readVerdict(body, errors);
        });
}

TEST_CASE(RequestJson, DigestTellsAResendFromAnotherRequest)
{
    std::vector<config::FieldError> errors;
    const auto digestOf = [&errors](const std::string &body) {
        return transport::readSubmission(body, "production", errors).specs.at(0)->digest;
    };
    const std::string base = R"({"key":"k","service":"s","payload":"p")";
    CHECK_EQUAL(digestOf(base + "}"), digestOf(base + R"(,"waitMs":5})"));
    CHECK(digestOf(base + "}") != digestOf(base + R"(,"urgent":true})"));
    CHECK(digestOf(base + "}") != digestOf(R"({"key":"k","service":"s","payload":"q"})"));
    CHECK(digestOf(base + "}") != digestOf(base + R"(,"gangSize":2})"));
    CHECK(errors.empty());
}

TEST_CASE(RequestJson, CarriesAnyBytes)
{
    wire::Bytes bytes;
    for (int value = 0; value < 256; ++value) {
        bytes.push_back(static_cast<std::uint8_t>(value));
        wire::Bytes back;
        CHECK(transport::fromBase64(transport::toBase64(bytes), back));
        CHECK((back == bytes));
    }
    nlohmann::json json;
    transport::putBytes(json, "answer", bytes);
    CHECK(json.contains("answerBase64") && !json.contains("answer"));
    transport::putBytes(json, "text", {'o', 'k'});
    CHECK_TEXT("ok", json["text"].get<std::string>());
}

TEST_CASE(RequestJson, RefusalNamesRetryAndStatus)
{
    for (const model::ReasonInfo &info : model::allReasons()) {
        const transport::HttpResponse answer = transport::refusal(info.reason, "d", 1500);
        CHECK(answer.status >= 400 && answer.status < 600);
        const auto json = nlohmann::json::parse(answer.body);
        CHECK_TEXT(std::string(info.name), json["error"]["name"].get<std::string>());
        CHECK_EQUAL(1500U, answer.retryAfterMs);
    }
}
