#include "fakes/fakeworker.h"

#include "model/task.h"
#include "transport/httpclient.h"

#include <algorithm>
#include <chrono>

namespace rosemaryturn::fakes
{
namespace
{
using Json = nlohmann::json;

constexpr std::uint64_t lateResultDelayMs = 3000;
constexpr std::size_t maxRetainedAnnouncements = 64;
constexpr long httpOk = 200;

std::uint64_t steadyMs()
{
    using namespace std::chrono;
    return static_cast<std::uint64_t>(duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count());
}

std::uint64_t wallClockMs()
{
    using namespace std::chrono;
    return static_cast<std::uint64_t>(duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

void pause(std::uint64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

Json runJson(const RunRecord &run)
{
    return {{"key", run.key}, {"task", run.task}, {"attempt", run.attempt}, {"idempotent", run.idempotent}, {"beganMs", run.beganMs}, {"endedMs", run.endedMs}};
}
}

FakeWorker::FakeWorker(FakeWorkerOptions options)
    : m_options(std::move(options))
    , m_incarnation(wallClockMs())
{
}

FakeWorker::~FakeWorker()
{
    stop();
}

std::error_code FakeWorker::start()
{
    std::vector<transport::HttpRoute> routes{
        {"POST",
         "/v1/starts",
         "start tasks",
         [this](const transport::HttpCall &call) {
             return handleStarts(call.body());
         }},
        {"GET",
         "/v1/runs",
         "list all runs",
         [this](const transport::HttpCall &) {
             return runsResponse();
         }},
    };
    if (const std::error_code error = m_server.start(m_options.address, m_options.port, {}, std::move(routes))) {
        return error;
    }
    m_announceThread = std::thread([this] {
        announceLoop();
    });
    m_workThread = std::thread([this] {
        workLoop();
    });
    return {};
}

void FakeWorker::leave()
{
    m_leaving = true;
}

void FakeWorker::stop()
{
    m_stopping = true;
    for (std::thread *thread : {&m_announceThread, &m_workThread}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
    m_server.stop();
}

std::vector<RunRecord> FakeWorker::runs() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<RunRecord> runs = m_finished;
    for (const auto &[id, task] : m_tasks) {
        if (!task.ended) {
            runs.push_back(task.run);
        }
    }
    return runs;
}

transport::HttpResponse FakeWorker::runsResponse() const
{
    Json list = Json::array();
    for (const RunRecord &run : runs()) {
        list.push_back(runJson(run));
    }
    return {200, Json{{"runs", list}}.dump(), 0};
}

transport::HttpResponse FakeWorker::handleStarts(std::string_view body)
{
    if (m_options.silent) {
        while (!m_stopping) {
            pause(50);
        }
    }
    const Json json = Json::parse(body, nullptr, false);
    Json answers = Json::array();
    const std::lock_guard lock(m_mutex);
    for (const Json &start : json["starts"]) {
        answers.push_back({{"task", start["task"]}, {"accepted", handleStart(start)}});
    }
    return {200, Json{{"announcement", m_announcementNumber}, {"starts", answers}}.dump(), 0};
}

bool FakeWorker::handleStart(const Json &start)
{
    const std::uint64_t id = start["task"];
    const std::uint32_t attempt = start["attempt"];
    const std::uint64_t term = start["term"];
    const auto sent = m_sentMs.find(start["announcement"].get<std::uint64_t>());
    const std::uint64_t nowMs = steadyMs();
    const bool current = start["incarnation"] == m_incarnation && term >= m_term;
    std::uint32_t &last = m_lastAttempt[id];
    if (attempt <= last) {
        return m_startedAttempts[id] == attempt; // Repeated start order; "not accepted" would mean that the attempt never started.
    }
    last = attempt;
    const bool fresh = sent != m_sentMs.end() && nowMs <= sent->second + start["windowMs"].get<std::uint64_t>();
    if (!current || !fresh) {
        return false;
    }
    m_term = term;
    m_startedAttempts[id] = attempt;
    Task task;
    task.run = {start["key"], id, attempt, start["idempotent"], wallClockMs(), 0};
    task.leaseUntilMs = nowMs + start["leaseMs"].get<std::uint64_t>() / (m_options.endLeaseEarly ? 2 : 1);
    task.endsAtMs = nowMs + m_options.runMs;
    task.runsUntilStopped = start["kind"] == "service";
    task.answer = "done:" + start["key"].get<std::string>() + ":" + start.value("payload", "");
    task.cpuMillis = start["cpuMillis"];
    task.memoryMb = start["memoryMb"];
    m_tasks[id] = std::move(task);
    return true;
}

void FakeWorker::announceLoop()
{
    while (!m_stopping) {
        const std::uint64_t began = steadyMs();
        announce();
        while (!m_stopping && steadyMs() < began + m_options.announceMs) {
            pause(5);
        }
    }
}

std::string FakeWorker::post(const std::string &path, const Json &body)
{
    transport::HttpRequest request;
    request.method = "POST";
    request.url = "http://" + m_options.entries[m_entryIndex % m_options.entries.size()] + "/v1/upstreams/" + m_options.id + path;
    request.body = body.dump();
    request.timeoutMs = 2000;
    std::error_code error;
    const transport::HttpResult result = transport::callHttp(request, error);
    if (error || result.status != httpOk) {
        ++m_entryIndex; // Try the next entry host of the data centre.
        return {};
    }
    return result.body;
}

void FakeWorker::announce()
{
    Json body;
    std::uint64_t sentMs = 0;
    {
        const std::lock_guard lock(m_mutex);
        sentMs = steadyMs();
        m_sentMs[++m_announcementNumber] = sentMs;
        if (m_sentMs.size() > maxRetainedAnnouncements) {
            m_sentMs.erase(m_sentMs.begin());
        }
        Json running = Json::array();
        const std::uint64_t factor = m_options.lieAboutSize ? 2 : 1;
        for (const auto &[id, task] : m_tasks) {
            running.push_back({{"task", id}, {"attempt", task.run.attempt}, {"cpuMillis", task.cpuMillis * factor}, {"memoryMb", task.memoryMb * factor}});
        }
        body = {{"number", m_announcementNumber},
                {"incarnation", m_incarnation},
                {"address", m_options.address},
                {"port", m_options.port},
                {"rack", m_options.rack},
                {"cpuMillis", m_options.cpuMillis},
                {"memoryMb", m_options.memoryMb},
                {"accelerators", m_options.accelerators},
                {"slots", m_options.slots},
                {"leaving", m_leaving.load()},
                {"running", running}};
    }
    const std::string answer = post("/announcements", body);
    if (!answer.empty()) {
        applyAnnouncementResponse(answer, sentMs);
    }
}

void FakeWorker::applyAnnouncementResponse(const std::string &body, std::uint64_t sentMs)
{
    const Json json = Json::parse(body, nullptr, false);
    const std::lock_guard lock(m_mutex);
    const std::uint64_t term = json["term"];
    if (term < m_term) {
        return; // Renewals by an earlier leader are no longer valid.
    }
    m_term = term;
    const std::uint64_t leaseMs = json["leaseMs"];
    for (const Json &renewed : json["renewed"]) {
        const auto task = m_tasks.find(renewed["task"]);
        if (task != m_tasks.end() && task->second.run.attempt == renewed["attempt"] && !m_options.endLeaseEarly) {
            task->second.leaseUntilMs = std::max(task->second.leaseUntilMs, sentMs + leaseMs);
        }
    }
    for (const Json &action : json["actions"]) {
        std::uint32_t &last = m_lastAttempt[action["task"]];
        if (action["action"] == "void" && action["attempt"] > last) {
            last = action["attempt"];
            m_voidedAttempts[action["task"]] = last;
        }
        const auto task = m_tasks.find(action["task"]);
        if (task != m_tasks.end() && task->second.run.attempt == action["attempt"] && action["action"] == "stop") {
            finishRun(task->second);
            m_tasks.erase(task);
        }
    }
}

void FakeWorker::finishRun(Task &task)
{
    if (!task.ended) {
        task.ended = true;
        task.run.endedMs = wallClockMs();
        m_finished.push_back(task.run);
    }
}

void FakeWorker::workLoop()
{
    while (!m_stopping) {
        advanceTasks();
        submitResults();
        pause(5);
    }
}

void FakeWorker::advanceTasks()
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t nowMs = steadyMs();
    for (auto at = m_tasks.begin(); at != m_tasks.end();) {
        Task &task = at->second;
        if (!task.ended && nowMs >= task.leaseUntilMs) {
            finishRun(task); // A task without a lease must stop, and its result is not submitted.
            at = m_tasks.erase(at);
            continue;
        }
        if (!task.ended && !task.runsUntilStopped && nowMs >= task.endsAtMs) {
            finishRun(task);
            task.submitAtMs = nowMs + (m_options.answerLate ? lateResultDelayMs : 0);
        }
        ++at;
    }
}

Json FakeWorker::resultJson(Task &task) const
{
    const wire::Bytes bytes(task.answer.begin(), task.answer.end());
    const bool cut = m_options.cutShort && task.submissionCount == 0;
    return {{"task", task.run.task},
            {"attempt", task.run.attempt},
            {"failed", m_options.failAll},
            {"answer", cut ? task.answer.substr(0, task.answer.size() / 2) : task.answer},
            {"length", bytes.size()},
            {"checksum", std::to_string(model::checksum(bytes))}};
}

void FakeWorker::submitResults()
{
    Json results = Json::array();
    {
        const std::lock_guard lock(m_mutex);
        const std::uint64_t nowMs = steadyMs();
        for (auto &[id, task] : m_tasks) {
            if (task.ended && nowMs >= task.submitAtMs) {
                results.push_back(resultJson(task));
                ++task.submissionCount;
            }
        }
        for (const auto &[id, attempt] : m_voidedAttempts) {
            results.push_back({{"task", id}, {"attempt", attempt}, {"refused", true}, {"length", 0}, {"checksum", std::to_string(model::checksum({}))}});
        }
    }
    if (results.empty()) {
        return;
    }
    const std::string answer = post("/results", {{"results", results}});
    if (!answer.empty() && m_options.answerTwice) {
        post("/results", {{"results", results}});
    }
    const Json json = Json::parse(answer, nullptr, false);
    if (!json.is_object()) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    for (const Json &acknowledged : json["acknowledged"]) {
        std::erase_if(m_voidedAttempts, [&acknowledged](const auto &entry) {
            return entry.first == acknowledged["task"] && entry.second == acknowledged["attempt"];
        });
        const auto task = m_tasks.find(acknowledged["task"]);
        if (task != m_tasks.end() && task->second.run.attempt == acknowledged["attempt"] && task->second.ended) {
            m_tasks.erase(task);
        }
    }
}
}
