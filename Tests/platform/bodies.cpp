#include "platform/bodies.h"
#include "platform/api.h"
#include "testing.h"

#include <string>

namespace
{
using namespace rosemaryturn;

const std::string plan = R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/q/","timeoutMs":3000,"targetLatencyMs":600,"priority":1,
    "service":"s","maxAttempts":3,"slackFactor":2.2,"recommendation":{"decisionMs":300.5,"perWorkerMs":4.4,"validityMs":1500}}],
    "services":[{"name":"s","admissionCheck":false}]})";

std::string planWith(const std::string &from, const std::string &to)
{
    std::string text = plan;
    return text.replace(text.find(from), from.size(), to);
}

std::string planWithTeams(const std::string &teams, const std::string &route = "\"priority\":1")
{
    return planWith("\"priority\":1", route).insert(1, "\"tenants\":" + teams + ",");
}
}

TEST_CASE(Platform, ReadsAPlan)
{
    platform::PlanError error{};
    const auto read = platform::readPlan(plan, error);
    CHECK(read != nullptr);
    CHECK_EQUAL(std::uint64_t{7}, read->version);
    CHECK(read->queues[0]->advised);
    CHECK_EQUAL(3U, read->queues[0]->attempts);
    CHECK_TEXT(plan, read->text);
}

TEST_CASE(Platform, RefusesInvalidPlans)
{
    const std::string duplicateRoute = planWith("}],", R"(},{"name":"t","host":"h","pathPrefix":"/q/","timeoutMs":1,"service":"s"}],)");
    for (const std::string &text : {plan.substr(0, plan.size() / 2),
                                    planWith("\"timeoutMs\":3000", "\"timeoutMs\":0"),
                                    planWith("\"service\":\"s\"", "\"service\":\"t\""),
                                    duplicateRoute,
                                    std::string("[]"),
                                    std::string()}) {
        platform::PlanError error{};
        CHECK(platform::readPlan(text, error) == nullptr);
        CHECK(error != platform::PlanError::None);
        CHECK(platform::planErrorReason(error) == model::Reason::InvalidDocument);
    }
}

/** Keys leave the text of the plan only as digests. */
TEST_CASE(Platform, ReadsTeamsAndCredentials)
{
    platform::PlanError error{};
    const auto open = platform::readPlan(planWith("\"priority\":1", R"("public":"yes")"), error);
    CHECK(open != nullptr && !open->requiresKeys); // Without tenants the field isn't read.
    const std::string route = R"("public":true,"priority":1)";
    const auto read = platform::readPlan(planWithTeams(R"([{"name":"a","apiKeys":["k1","k2","k1"],"weight":2.5,"priority":3,"note":[],
        "maxCount":{"cpu":9000,"memMb":5}},{"name":"b"}])",
                                                       route),
                                         error);
    CHECK(read != nullptr && read->requiresKeys && read->queues[0]->isPublic);
    const wire::TeamSpecT &team = *read->teams.at(0);
    CHECK_EQUAL(std::size_t{2}, team.keyDigests.size());
    CHECK_TEXT("6ab9f1eb8f7d3388f4f9d586f66e99fd54080df2c446f0e58668b09c08a16dd0", team.keyDigests[0]);
    CHECK_EQUAL(2.5, team.weight);
    CHECK_EQUAL(std::uint64_t{9000}, team.limitCpuMillis);
    CHECK_EQUAL(1.0, read->teams.at(1)->weight);
    CHECK(platform::readPlan(planWithTeams("[]"), error)->requiresKeys);
    for (const char *header : {"Token k1", "token  k1 "}) {
        CHECK_TEXT(team.keyDigests[0], platform::readCredential(header));
    }
    for (const char *header : {"", "Token", "Token ", "Token  ", "k1", "Basic k1"}) {
        CHECK_TEXT("", platform::readCredential(header));
    }
}

TEST_CASE(Platform, RefusesInvalidTeams)
{
    const auto checkRefused = [](const std::string &teams, platform::PlanError expected, const std::string &route = "\"priority\":1") {
        platform::PlanError error{};
        CHECK(platform::readPlan(planWithTeams(teams, route), error) == nullptr);
        CPPUNIT_ASSERT_MESSAGE(teams, error == expected);
        CHECK_EQUAL(400U, model::reasonInfo(platform::planErrorReason(error)).httpStatus);
    };
    for (const char *field :
         {R"("name":null)", R"("name":1)", R"("apiKeys":"k")", R"("apiKeys":[7])", R"("apiKeys":[""])", R"("weight":-1)", R"("maxCount":{"cpu":"1"})"}) {
        checkRefused(R"([{"name":"a",)" + std::string(field) + "}]", platform::PlanError::TeamUnreadable); // Of two names the last one counts.
    }
    checkRefused("null", platform::PlanError::TeamUnreadable);
    checkRefused(R"([{"name":"a"},{"name":"a"}])", platform::PlanError::TeamRepeated);
    checkRefused(R"([{"name":"a","apiKeys":["x","k"]},{"name":"b","apiKeys":["k"]}])", platform::PlanError::KeyShared);
    checkRefused("[]", platform::PlanError::PublicUnreadable, "\"public\":1");
}

TEST_CASE(Platform, ReadsAJobAndRefusesOthers)
{
    const auto job = platform::readJob(R"({"spec":"x","steps":[{"count":4,"cpu":500},{"count":2,"after":[0],"gang":true,"requirements":"a"}]})");
    CHECK(job != nullptr);
    CHECK_EQUAL(500U, job->steps[0]->cpuMillis);
    CHECK(job->steps[1]->gang);
    CHECK_TEXT("a", job->steps[1]->label);
    for (const char *text : {"",
                             "{",
                             R"({"spec":"x"})",
                             R"({"spec":1,"steps":[{}]})",
                             R"({"spec":"x","steps":[{"after":[0]}]})",
                             R"({"spec":"x","steps":[{"cpu":"much"}]})",
                             R"({"spec":"x","steps":[]})"}) {
        CHECK(platform::readJob(text) == nullptr);
    }
}

/** A body of 20 KB named 20 million tasks, which took the leader's memory and time for longer than its lease. */
TEST_CASE(Platform, BoundsTheTasksOfAJob)
{
    const auto jobOf = [](std::size_t steps) {
        std::string text;
        for (std::size_t step = 0; step < steps; ++step) {
            text += std::string(step == 0 ? "" : ",") + R"({"count":20000})";
        }
        return platform::readJob(R"({"spec":"x","steps":[)" + text + "]}");
    };
    CHECK(jobOf(5) != nullptr);
    CHECK(jobOf(6) == nullptr);
    CHECK(jobOf(1000) == nullptr);
}

TEST_CASE(Platform, RejectsMalformedHeartbeats)
{
    const std::string beat = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,
        "capacity":{"cpu":1000,"memMb":10,"gpu":0},"labels":["a","r1"],"clockMs":5,"born":9,"sequence":4})";
    const auto read = platform::readHeartbeat("i", beat);
    CHECK(read != nullptr);
    CHECK_EQUAL(std::uint64_t{9}, read->seen->born);
    for (const auto &[from, to] : {std::pair("\"ready\"", "\"asleep\""),
                                   std::pair("\"sequence\":4", "\"sequence\":\"4\""),
                                   std::pair("[\"a\",\"r1\"]", "7"),
                                   std::pair("\"service\":\"s\",", ""),
                                   std::pair("{\"cpu\"", "{\"cpu\":{}")}) {
        std::string text = beat;
        text.replace(text.find(from), std::string(from).size(), to);
        CHECK(platform::readHeartbeat("i", text) == nullptr);
    }
}

/** A heartbeat of another sender, without some field or with one of another type, was taken for a worker's. */
TEST_CASE(Platform, RejectsHeartbeatsWithoutAFieldOrWithOneOfAnotherType)
{
    nlohmann::json beat = nlohmann::json::parse(R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready",
        "coldRemainingMs":0,"capacity":{"cpu":1000,"memMb":10,"gpu":0},"labels":["a","r1"],"clockMs":5,"sequence":4})");
    CHECK(platform::readHeartbeat("i", beat.dump()) != nullptr); // Not every deployment sends the time of the start.
    beat["born"] = 9;
    const auto isRead = [](const nlohmann::json &object) {
        return platform::readHeartbeat("i", object.dump()) != nullptr;
    };
    CHECK(isRead(beat));
    for (const auto &field : beat.items()) {
        nlohmann::json changed = beat;
        changed[field.key()] = true;
        CPPUNIT_ASSERT_MESSAGE(field.key() + " of another type", !isRead(changed));
        changed.erase(field.key());
        CPPUNIT_ASSERT_MESSAGE("without " + field.key(), field.key() == "born" || !isRead(changed));
    }
    for (const char *name : {"cpu", "memMb", "gpu"}) {
        nlohmann::json changed = beat;
        changed["capacity"].erase(name);
        CPPUNIT_ASSERT_MESSAGE(std::string("without ") + name, !isRead(changed));
    }
    beat["born"] = 9.5;
    CHECK(!isRead(beat));
}

TEST_CASE(Platform, WritesAStartAndReadsItsReply)
{
    deployment::UpstreamCall order;
    order.id = 5;
    order.kind = deployment::CallKind::Start;
    order.address = "10.0.0.1:80";
    order.upstream = "i";
    order.job = "abc";
    order.task = {1, 0, 2, 3};
    order.run = 4;
    order.leaseUntilMs = 900;
    order.fence = 6;
    CHECK(platform::workerCall(order).sendOnce);
    const auto body = nlohmann::json::parse(platform::workerCall(order).body);
    CHECK_TEXT("abc.0.2.3", body["task"].get<std::string>());
    CHECK_EQUAL(900, body["deadlineMs"].get<int>());
    CHECK(!body.contains("ticket"));
    CHECK(platform::workerReply(order, 409, R"({"reason":"old"})").status == deployment::CallStatus::Outdated);
    CHECK(platform::workerReply(order, 409, R"({"reason":"ticket"})").status == deployment::CallStatus::BadTicket);
    CHECK(platform::workerReply(order, 421, "").status == deployment::CallStatus::OtherIncarnation);
    CHECK(platform::workerReply(order, 0, "").status == deployment::CallStatus::NoAnswer);
    CHECK(platform::workerReply(order, 503, "").status == deployment::CallStatus::Busy);
}

// Guards against an exception for ids that aren't UTF-8, which ended each leader that started such a job.
TEST_CASE(Platform, WritesCallsWithIdsThatAreNotText)
{
    deployment::UpstreamCall order;
    order.kind = deployment::CallKind::Start;
    order.job = "\xff\xfe";
    CHECK(nlohmann::json::accept(platform::workerCall(order).body));
    deployment::LocalAdviceRequest request;
    request.step = "\xff.0.0";
    request.upstreams = {"\xfe"};
    CHECK(nlohmann::json::accept(platform::adviceCall({}, request).body));
}

TEST_CASE(Platform, ReadsTheListsOfAWorker)
{
    deployment::UpstreamCall order;
    order.kind = deployment::CallKind::Poll;
    const auto reply = platform::workerReply(order, 200, R"({"clockMs":77,"born":3,"running":[["abc.0.1.17",2,"c",41,9]],
        "finished":[[58,"abc.0.1.9",1,"done",""],[59,"broken row"],[60,"abc.0.1.8",3,"lapsed","k"]]})");
    CHECK(reply.hasLists);
    CHECK_EQUAL(std::size_t{1}, reply.running.size());
    CHECK_EQUAL(17U, reply.running[0].task.index);
    CHECK_EQUAL(std::size_t{2}, reply.ended.size());
    CHECK(reply.ended[1].end == wire::RunEnd::Lapsed);
    CHECK(!platform::workerReply(order, 200, "{}").hasLists);
}
