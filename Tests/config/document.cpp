#include "config/document.h"
#include "testing.h"

#include <fstream>
#include <iterator>

namespace
{
using namespace rosemaryturn;

const std::vector<std::string> dataCentreNames{"d"};

std::string documentWith(const std::string &service, const std::string &team = R"({"name":"t"})")
{
    return R"({"teams":[)" + team + R"(],"services":[)" + service + "]}";
}
}

TEST_CASE(Document, AcceptsTheExampleFiles)
{
    const std::pair<const char *, std::vector<std::string>> rows[] = {
        {"lentilles-claires.json", {"sahel", "cap-bon", "djerid"}},
        {"kesselberg-messebau.json", {"oberbayern", "mittelfranken", "schwaben"}},
    };
    for (const auto &[file, names] : rows) {
        std::ifstream stream(std::string(ROSEMARYTURN_ROOT) + "/examples/" + file);
        const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
        std::vector<config::FieldError> errors;
        CHECK(config::parseDocument(text, names, errors).has_value());
    }
}

TEST_CASE(Document, RefusesEveryKindOfMistake)
{
    struct Row
    {
        std::string text;
        std::string pointer;
    };
    const std::string validFields = R"({"name":"s","team":"t","home":"d","cpuMillis":1,"memoryMb":1)";
    const Row rows[] = {
        {documentWith(validFields + R"(,"kind":"cron"})"), "/services/0/kind"},
        {documentWith(validFields + R"(,"cpumillis":1})"), "/services/0/cpumillis"},
        {documentWith(validFields + R"(,"attempts":0})"), "/services/0/attempts"},
        {documentWith(validFields + R"(,"instances":2})"), "/services/0/instances"},
        {documentWith(validFields + "}," + validFields + "}"), "/services/1/name"},
        {documentWith(R"({"name":"s","team":"x","home":"d"})"), "/services/0/team"},
        {documentWith(R"({"name":"s","team":"t","home":"x"})"), "/services/0/home"},
        {documentWith(R"({"name":"a b","team":"t","home":"d"})"), "/services/0/name"},
        {documentWith(validFields + "}", R"({"name":"t","quota":{"cpuMillis":-5}})"), "/teams/0/quota/cpuMillis"},
        {R"({"workerShapes":[{"cpuMillis":99999999999999999999}]})", "/workerShapes/0/cpuMillis"},
        {R"({"services":7})", "/services"},
    };
    for (const Row &row : rows) {
        std::vector<config::FieldError> errors;
        CHECK(!config::parseDocument(row.text, dataCentreNames, errors));
        CHECK(!errors.empty());
        CHECK_TEXT(row.pointer, errors.front().pointer);
    }
}

TEST_CASE(Document, KeepsTheHomeOfAService)
{
    std::vector<config::FieldError> errors;
    const std::vector<std::string> dataCentres{"d", "e"};
    const auto before = config::parseDocument(documentWith(R"({"name":"s","team":"t","home":"d"})"), dataCentres, errors);
    const auto after = config::parseDocument(documentWith(R"({"name":"s","team":"t","home":"e"})"), dataCentres, errors);
    config::checkReplacement(*before, *after, errors);
    CHECK_EQUAL(std::size_t{1}, errors.size());
    CHECK_TEXT("/services/0/home", errors[0].pointer);
}

TEST_CASE(JsonReader, RefusesMalformedJson)
{
    const std::string tooDeep = std::string(200, '[') + std::string(200, ']');
    for (const std::string &text : {std::string("{"),
                                    std::string("{\"a\":NaN}"),
                                    std::string("\"\xff\xfe\""),
                                    tooDeep,
                                    std::string("{\"a\":1e999}"),
                                    std::string("{} {}"),
                                    std::string()}) {
        std::vector<config::FieldError> errors;
        config::parseJson(text, errors);
        CHECK_EQUAL(std::size_t{1}, errors.size());
        CHECK(errors[0].reason == model::Reason::MalformedJson);
    }
}
