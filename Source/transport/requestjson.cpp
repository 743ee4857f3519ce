#include "transport/requestjson.h"

#include "config/memorymeter.h"
#include "model/key.h"
#include "model/task.h"
#include "telemetry/metrics.h"

#include <orcania.h>
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace rosemaryturn::transport
{
namespace
{
using config::FieldError;
using config::ObjectReader;
using Json = nlohmann::json;

constexpr std::size_t maxNameLength = 100;
constexpr std::size_t maxPayloadLength = 16U << 20U;
constexpr std::uint64_t maxCpuMillis = 10'000'000;
constexpr std::uint64_t maxMemoryMb = 100'000'000;
constexpr std::uint64_t maxAccelerators = 10'000;
constexpr std::uint64_t maxSlots = 10'000;
constexpr std::uint64_t maxPort = 65535;
constexpr std::uint64_t maxDurationMs = 7ULL * 24 * 3600 * 1000;
constexpr std::uint64_t maxWaitMs = 600'000;
constexpr std::uint64_t maxUint64 = UINT64_MAX;

bool isUtf8(const wire::Bytes &bytes)
{
    try {
        static_cast<void>(Json(std::string(bytes.begin(), bytes.end())).dump());
        return true;
    } catch (const Json::type_error &) {
        return false; // The library reports invalid UTF-8 only by an exception.
    }
}

/** Reads the field NAME as text, or NAMEBase64 as encoded bytes. */
wire::Bytes readBytes(ObjectReader &reader, const char *name)
{
    const std::string encodedName = std::string(name) + "Base64";
    const std::string encoded = reader.text(encodedName.c_str(), "", maxPayloadLength);
    const std::string text = reader.text(name, "", maxPayloadLength);
    if (!config::addRequestMemory(std::max(text.size(), encoded.size()))) {
        reader.addError(name, model::Reason::TooManyBodies, std::string(model::reasonInfo(model::Reason::TooManyBodies).text));
        return {};
    }
    wire::Bytes bytes(text.begin(), text.end());
    if (!encoded.empty() && !fromBase64(encoded, bytes)) {
        reader.addError(encodedName.c_str(), model::Reason::OutOfRange, "expected Base64");
    }
    return bytes;
}

std::string readKey(ObjectReader &reader, const char *name)
{
    std::string key = reader.requiredText(name, model::maxKeyLength);
    if (!key.empty() && !isValidKey(key)) {
        reader.addError(name, model::Reason::BadKey, std::string(model::reasonInfo(model::Reason::BadKey).text));
    }
    return key;
}

/** Distinguishes a resend from a reused key; therefore covers every value that the caller specified and no configured default. */
std::uint64_t digestOf(const wire::TaskSpecT &spec, std::uint32_t gangSize)
{
    wire::TaskSpecT stated = spec;
    stated.gangSize = gangSize;
    stated.key.clear();
    const wire::Bytes bytes = wire::encode(stated);
    return XXH64(bytes.data(), bytes.size(), 0);
}

wire::TaskSpecT readSpec(ObjectReader &reader, const std::string &environment)
{
    wire::TaskSpecT spec;
    spec.key = readKey(reader, "key");
    const std::string stated = reader.text("environment", environment, maxNameLength);
    spec.service = control::qualify(stated, reader.requiredText("service", maxNameLength));
    spec.idempotencyStated = reader.field("idempotent") != nullptr;
    spec.idempotent = reader.flag("idempotent", false);
    spec.urgent = reader.flag("urgent", false);
    spec.cpuMillis = static_cast<std::uint32_t>(reader.number("cpuMillis", {1, maxCpuMillis, 0}));
    spec.memoryMb = static_cast<std::uint32_t>(reader.number("memoryMb", {1, maxMemoryMb, 0}));
    spec.accelerators = static_cast<std::uint32_t>(reader.number("accelerators", {0, maxAccelerators, 0}));
    spec.queueMs = static_cast<std::uint32_t>(reader.number("queueMs", {1, maxDurationMs, 0}));
    spec.maxRunMs = static_cast<std::uint32_t>(reader.number("maxRunMs", {1, maxDurationMs, 0}));
    spec.payload = readBytes(reader, "payload");
    return spec;
}

std::unique_ptr<wire::WorkerRegisteredT> readShape(ObjectReader &reader, const std::string &worker)
{
    auto shape = std::make_unique<wire::WorkerRegisteredT>();
    shape->worker = worker;
    shape->incarnation = reader.requiredNumber("incarnation", {1, maxUint64, 1});
    shape->address = reader.requiredText("address", maxNameLength);
    shape->port = static_cast<std::uint16_t>(reader.requiredNumber("port", {1, maxPort, 1}));
    shape->rack = reader.text("rack", "", maxNameLength);
    shape->cpuMillis = static_cast<std::uint32_t>(reader.requiredNumber("cpuMillis", {1, maxCpuMillis, 1}));
    shape->memoryMb = static_cast<std::uint32_t>(reader.requiredNumber("memoryMb", {1, maxMemoryMb, 1}));
    shape->accelerators = static_cast<std::uint32_t>(reader.number("accelerators", {0, maxAccelerators, 0}));
    shape->slots = static_cast<std::uint32_t>(reader.requiredNumber("slots", {1, maxSlots, 1}));
    shape->leaving = reader.flag("leaving", false);
    return shape;
}

template<typename ReadOne>
void readArray(ObjectReader &reader, const char *name, std::vector<FieldError> &errors, ReadOne readOne)
{
    const Json *list = reader.array(name);
    if (list == nullptr) {
        return;
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
        ObjectReader item((*list)[i], reader.pointerTo(name) + "/" + std::to_string(i), errors);
        readOne(item);
        item.reportUnknownFields();
    }
}

std::uint64_t readChecksum(ObjectReader &reader)
{
    // A decimal string, since JSON parsers of other languages lose precision of 64-bit numbers.
    const std::string text = reader.requiredText("checksum", maxNameLength);
    const bool digits = !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return std::isdigit(character) != 0;
    });
    constexpr std::size_t maxDigits = 20;
    if (!digits || text.size() > maxDigits) {
        reader.addError("checksum", model::Reason::OutOfRange, "expected the XXH64 of the answer as a decimal string");
        return 0;
    }
    return std::strtoull(text.c_str(), nullptr, 10);
}

std::unique_ptr<wire::TaskResultT> readResult(ObjectReader &reader)
{
    auto result = std::make_unique<wire::TaskResultT>();
    result->task = reader.requiredNumber("task", {1, maxUint64, 0});
    result->attempt = static_cast<std::uint32_t>(reader.requiredNumber("attempt", {1, UINT32_MAX, 0}));
    result->refused = reader.flag("refused", false);
    result->failed = reader.flag("failed", false);
    result->answer = readBytes(reader, "answer");
    result->statedLength = reader.requiredNumber("length", {0, maxPayloadLength, 0});
    result->checksum = readChecksum(reader);
    return result;
}

Json taskJson(const wire::TaskViewT &view)
{
    Json json{{"key", view.key},
              {"task", view.task},
              {"state", model::phaseName(view.phase)},
              {"outcome", model::outcomeName(view.outcome)},
              {"reason", model::reasonInfo(static_cast<model::Reason>(view.reason)).name},
              {"attempt", view.attempt},
              {"worker", view.worker}};
    if (view.phase == wire::TaskPhase::Ended) {
        putBytes(json, "answer", view.answer);
        json["answerLength"] = view.answer.size();
        json["answerKept"] = !view.answerDropped;
    }
    return json;
}

Json attemptsJson(const std::vector<std::unique_ptr<wire::RunningTaskT>> &attempts, bool withAction)
{
    constexpr std::array actions{"continue", "throttle", "checkpoint", "stop", "void"};
    Json list = Json::array();
    for (const auto &attempt : attempts) {
        Json item{{"task", attempt->task}, {"attempt", attempt->attempt}};
        if (withAction) {
            item["action"] = actions.at(static_cast<std::size_t>(attempt->action));
        }
        list.push_back(std::move(item));
    }
    return list;
}

std::string_view retryGuidanceName(model::RetryGuidance advice)
{
    switch (advice) {
    case model::RetryGuidance::Never:
        return "never";
    case model::RetryGuidance::Later:
        return "later";
    case model::RetryGuidance::Changed:
        return "after-change";
    }
    return "never";
}

const char *kindName(wire::TaskKind kind)
{
    constexpr std::array names{"batch", "gang", "service"};
    return names.at(static_cast<std::size_t>(kind));
}

HttpResponse errorFromReply(const wire::ReplyT &reply)
{
    return refusal(static_cast<model::Reason>(reply.error), reply.detail, reply.retryAfterMs);
}
}

bool isValidKey(std::string_view text)
{
    const std::size_t at = text.find('@');
    const std::string_view name = text.substr(0, at);
    const std::string_view home = at == std::string_view::npos ? std::string_view("x") : text.substr(at + 1);
    return text.size() <= model::maxKeyLength && model::isPlainKey(name) && model::isPlainKey(home);
}

wire::RequestT readSubmission(std::string_view body, const std::string &environment, std::vector<FieldError> &errors)
{
    wire::RequestT request;
    request.operation = wire::Operation::Submit;
    const Json json = config::parseJson(body, errors);
    if (!errors.empty()) {
        return request;
    }
    ObjectReader reader(json, "", errors);
    wire::TaskSpecT spec = readSpec(reader, environment);
    const auto gangSize = static_cast<std::uint32_t>(reader.number("gangSize", {1, maxGangSize, 1}));
    request.waitMs = static_cast<std::uint32_t>(reader.number("waitMs", {0, maxWaitMs, 0}));
    reader.reportUnknownFields();
    spec.digest = digestOf(spec, gangSize);
    spec.gangSize = gangSize;
    request.key = spec.key;
    for (std::uint32_t i = 0; i < gangSize; ++i) {
        request.specs.push_back(std::make_unique<wire::TaskSpecT>(spec));
    }
    return request;
}

wire::RequestT readAnnouncement(std::string_view body, const std::string &worker, std::vector<FieldError> &errors)
{
    wire::RequestT request;
    request.operation = wire::Operation::Announce;
    const Json json = config::parseJson(body, errors);
    if (!errors.empty()) {
        return request;
    }
    ObjectReader reader(json, "", errors);
    request.announcement = std::make_unique<wire::AnnouncementT>();
    request.announcement->number = reader.requiredNumber("number", {1, maxUint64, 1});
    request.announcement->shape = readShape(reader, worker);
    readArray(reader, "running", errors, [&request](ObjectReader &item) {
        auto running = std::make_unique<wire::RunningTaskT>();
        running->task = item.requiredNumber("task", {1, maxUint64, 0});
        running->attempt = static_cast<std::uint32_t>(item.requiredNumber("attempt", {1, UINT32_MAX, 0}));
        running->cpuMillis = static_cast<std::uint32_t>(item.number("cpuMillis", {0, maxCpuMillis, 0}));
        running->memoryMb = static_cast<std::uint32_t>(item.number("memoryMb", {0, maxMemoryMb, 0}));
        request.announcement->running.push_back(std::move(running));
    });
    reader.reportUnknownFields();
    return request;
}

wire::RequestT readResults(std::string_view body, const std::string &worker, std::vector<FieldError> &errors)
{
    wire::RequestT request;
    request.operation = wire::Operation::Results;
    request.worker = worker;
    const Json json = config::parseJson(body, errors);
    if (!errors.empty()) {
        return request;
    }
    ObjectReader reader(json, "", errors);
    readArray(reader, "results", errors, [&request](ObjectReader &item) {
        request.results.push_back(readResult(item));
    });
    reader.reportUnknownFields();
    return request;
}

wire::RequestT readConfigChange(std::string_view body, const std::string &environment, std::vector<FieldError> &errors)
{
    wire::RequestT request;
    request.operation = wire::Operation::ApplyConfig;
    const Json json = config::parseJson(body, errors);
    if (!errors.empty()) {
        return request;
    }
    ObjectReader reader(json, "", errors);
    request.config = std::make_unique<wire::ConfigChangeT>();
    request.config->environment = environment;
    request.config->requestId = readKey(reader, "requestId");
    request.config->expectedRevision = reader.requiredNumber("expectedRevision", {0, maxUint64, 0});
    request.config->promoteFrom = reader.text("promoteFrom", "", maxNameLength);
    request.config->digest = reader.text("digest", "", maxNameLength);
    request.config->rollbackTo = reader.number("rollbackTo", {1, maxUint64, 0});
    if (const Json *document = reader.object("document")) {
        request.config->document = document->dump();
    }
    const int sources = (request.config->promoteFrom.empty() ? 0 : 1) + (request.config->rollbackTo == 0 ? 0 : 1) + (request.config->document.empty() ? 0 : 1);
    if (sources != 1 && errors.empty()) {
        reader.addError("document", model::Reason::MissingField, "specify exactly one of document, promoteFrom with digest, rollbackTo");
    }
    reader.reportUnknownFields();
    return request;
}

wire::RequestT readVerdict(std::string_view body, std::vector<FieldError> &errors)
{
    wire::RequestT request;
    request.operation = wire::Operation::ApplyVerdict;
    const Json json = config::parseJson(body, errors);
    if (!errors.empty()) {
        return request;
    }
    ObjectReader reader(json, "", errors);
    request.verdict = std::make_unique<wire::VerdictChangeT>();
    request.verdict->worker = readKey(reader, "worker");
    request.verdict->sequence = reader.requiredNumber("sequence", {1, maxUint64, 1});
    if (reader.field("down") == nullptr) {
        reader.addError("down", model::Reason::MissingField, "add this field, true or false");
    }
    request.verdict->down = reader.flag("down", false);
    reader.reportUnknownFields();
    return request;
}

HttpResponse refusal(model::Reason reason, const std::string &detail, std::uint32_t retryAfterMs)
{
    const model::ReasonInfo &info = model::reasonInfo(reason);
    Json error{{"name", info.name}, {"text", info.text}, {"retry", retryGuidanceName(info.retry)}};
    if (!detail.empty()) {
        error["detail"] = detail;
    }
    if (retryAfterMs > 0) {
        error["retryAfterMs"] = retryAfterMs;
    }
    const unsigned status = info.httpStatus >= 400 ? info.httpStatus : 409;
    return {status, Json{{"error", error}}.dump(-1, ' ', false, Json::error_handler_t::replace), retryAfterMs};
}

HttpResponse refuseAtEdge(model::Reason reason, const std::string &detail)
{
    telemetry::refusalCounters().count(reason);
    return refusal(reason, detail);
}

HttpResponse refusal(const std::vector<FieldError> &errors)
{
    telemetry::refusalCounters().count(errors.front().reason);
    return refusal(errors.front().reason, config::describeAll(errors));
}

HttpResponse taskResponse(const wire::ReplyT &reply)
{
    if (reply.error != 0) {
        return errorFromReply(reply);
    }
    const bool ended = std::all_of(reply.tasks.begin(), reply.tasks.end(), [](const auto &task) {
        return task->phase == wire::TaskPhase::Ended;
    });
    const unsigned status = ended ? 200 : 202;
    if (reply.tasks.size() == 1) {
        return {status, taskJson(*reply.tasks.front()).dump(), 0};
    }
    Json tasks = Json::array();
    for (const auto &task : reply.tasks) {
        tasks.push_back(taskJson(*task));
    }
    const std::string key = reply.tasks.empty() ? "" : reply.tasks.front()->key;
    return {status, Json{{"key", key}, {"state", ended ? "ended" : "open"}, {"tasks", tasks}}.dump(), 0};
}

HttpResponse announcementResponse(const wire::ReplyT &reply)
{
    if (reply.error != 0) {
        return errorFromReply(reply);
    }
    const Json json{{"term", reply.term},
                    {"leaseMs", reply.leaseMs},
                    {"windowMs", reply.windowMs},
                    {"renewed", attemptsJson(reply.renewed, false)},
                    {"actions", attemptsJson(reply.actions, true)}};
    return {200, json.dump(), 0};
}

HttpResponse resultsResponse(const wire::ReplyT &reply)
{
    if (reply.error != 0) {
        return errorFromReply(reply);
    }
    return {200, Json{{"acknowledged", attemptsJson(reply.renewed, false)}}.dump(), 0};
}

Json startJson(const control::StartOrder &order)
{
    Json json{{"task", order.task},
              {"attempt", order.attempt},
              {"incarnation", order.incarnation},
              {"term", order.term},
              {"announcement", order.announcement},
              {"windowMs", order.windowMs},
              {"leaseMs", order.leaseMs},
              {"key", order.spec.key},
              {"service", order.spec.service},
              {"kind", kindName(order.spec.kind)},
              {"idempotent", order.spec.idempotent},
              {"cpuMillis", order.spec.cpuMillis},
              {"memoryMb", order.spec.memoryMb},
              {"accelerators", order.spec.accelerators}};
    putBytes(json, "payload", order.spec.payload);
    return json;
}

std::string toBase64(const wire::Bytes &bytes)
{
    constexpr std::size_t groupBytes = 3;
    constexpr std::size_t groupText = 4;
    std::string text((bytes.size() / groupBytes + 1) * groupText + 1, '\0');
    std::size_t length = 0;
    if (bytes.empty() || o_base64_encode(bytes.data(), bytes.size(), reinterpret_cast<unsigned char *>(text.data()), &length) == 0) {
        return {};
    }
    text.resize(length);
    return text;
}

bool fromBase64(const std::string &text, wire::Bytes &bytes)
{
    bytes.assign(text.size() + 1, 0);
    std::size_t length = 0;
    if (o_base64_decode(reinterpret_cast<const unsigned char *>(text.data()), text.size(), bytes.data(), &length) == 0) {
        return false;
    }
    bytes.resize(length);
    return true;
}

void putBytes(Json &json, const std::string &name, const wire::Bytes &bytes)
{
    if (isUtf8(bytes)) {
        json[name] = std::string(bytes.begin(), bytes.end());
    } else {
        json[name + "Base64"] = toBase64(bytes);
    }
}
}
