#include "fakes/cellbench.h"

namespace rosemaryturn::fakes
{
CellBench::CellBench(const std::string &document)
{
    config.dataCentres = {"dc1"};
    apply(document);
    cell.config = &config;
    cell.options.dataCentre = "dc1";
    cell.options.environment = "production";
    cell.random.seed(1);
    control::CellOutput output;
    control::beginLeading(cell, 1, now, output);
    handleOutput(std::move(output));
}

void CellBench::apply(const std::string &document)
{
    const control::Revision *current = control::inForce(config, "production");
    wire::ConfigChangeT change;
    change.environment = "production";
    change.requestId = "r" + std::to_string(config.outcomes.size());
    change.expectedRevision = current == nullptr ? 0 : current->revision;
    change.document = document;
    std::string detail;
    if (control::prepare(config, change, detail)) {
        throw std::runtime_error("the test's configuration document is invalid: " + detail);
    }
    control::apply(config, change);
    control::onConfigChanged(cell, now);
}

void CellBench::handleOutput(control::CellOutput output)
{
    for (control::TokenReply &reply : output.replies) {
        replies[reply.token] = std::move(reply.reply);
    }
    for (control::SpillCall &spill : output.spills) {
        spills.push_back(std::move(spill));
    }
    for (control::StartOrder &start : output.starts) {
        runningTasks[start.worker][start.task] = start.attempt;
        starts.push_back(std::move(start));
    }
    for (const wire::Bytes &bytes : output.proposals) {
        const auto record = wire::decode<wire::RecordT>(bytes);
        control::CellOutput result;
        control::applyRecord(cell, *record, now, result);
        handleOutput(std::move(result));
    }
}

void CellBench::tick()
{
    control::CellOutput output;
    control::tickCell(cell, now, true, output);
    handleOutput(std::move(output));
}

control::Token CellBench::send(const wire::RequestT &request)
{
    const control::Token token = nextToken++;
    control::CellOutput output;
    control::handleRequest(cell, token, request, now, true, output);
    handleOutput(std::move(output));
    return token;
}

control::Token CellBench::submit(const std::string &service, const std::string &key, const std::function<void(wire::TaskSpecT &)> &change)
{
    wire::TaskSpecT spec;
    spec.key = key + "@dc1";
    spec.service = "production/" + service;
    spec.digest = 1;
    spec.gangSize = 1;
    if (change) {
        change(spec);
    }
    wire::RequestT request;
    request.operation = wire::Operation::Submit;
    request.key = spec.key;
    for (std::uint32_t i = 0; i < spec.gangSize; ++i) {
        request.specs.push_back(std::make_unique<wire::TaskSpecT>(spec));
    }
    return send(request);
}

void CellBench::addWorker(const std::string &worker, const model::Resources &offer, const std::string &rack)
{
    wire::WorkerRegisteredT shape;
    shape.worker = worker;
    shape.incarnation = 1;
    shape.rack = rack;
    shape.cpuMillis = static_cast<std::uint32_t>(offer.cpuMillis);
    shape.memoryMb = static_cast<std::uint32_t>(offer.memoryMb);
    shape.accelerators = static_cast<std::uint32_t>(offer.accelerators);
    shape.slots = static_cast<std::uint32_t>(offer.slots);
    shapes[worker] = shape;
    announce(worker);
}

control::Token CellBench::announce(const std::string &worker, const std::vector<wire::RunningTaskT> &running)
{
    wire::RequestT request;
    request.operation = wire::Operation::Announce;
    request.announcement = std::make_unique<wire::AnnouncementT>();
    request.announcement->number = ++announcementNumbers[worker];
    request.announcement->shape = std::make_unique<wire::WorkerRegisteredT>(shapes[worker]);
    for (const wire::RunningTaskT &task : running) {
        request.announcement->running.push_back(std::make_unique<wire::RunningTaskT>(task));
    }
    const control::Token token = send(request);
    for (const auto &action : replies[token].actions) {
        if (action->action == wire::TaskAction::Stop) {
            runningTasks[worker].erase(action->task);
        }
    }
    return token;
}

void CellBench::announceAll()
{
    for (const auto &[worker, shape] : shapes) {
        std::vector<wire::RunningTaskT> running;
        for (const auto &[task, attempt] : runningTasks[worker]) {
            wire::RunningTaskT entry;
            entry.task = task;
            entry.attempt = attempt;
            running.push_back(entry);
        }
        announce(worker, running);
    }
}

control::Token CellBench::finishTask(const control::StartOrder &order, bool failed)
{
    wire::RequestT request;
    request.operation = wire::Operation::Results;
    request.worker = order.worker;
    auto result = std::make_unique<wire::TaskResultT>();
    result->task = order.task;
    result->attempt = order.attempt;
    result->failed = failed;
    result->answer = expectedAnswer(order.spec);
    result->statedLength = result->answer.size();
    result->checksum = model::checksum(result->answer);
    request.results.push_back(std::move(result));
    runningTasks[order.worker].erase(order.task);
    return send(request);
}

void CellBench::deliverSpillReply(const control::SpillCall &call, const wire::ReplyT &reply)
{
    control::CellOutput output;
    control::handleSpillReply(cell, call, reply, now, output);
    handleOutput(std::move(output));
}

void CellBench::run(std::uint64_t milliseconds)
{
    constexpr std::uint64_t tickMs = 20;
    constexpr std::uint64_t announceMs = 1000;
    for (const std::uint64_t end = now.monotonicMs + milliseconds; now.monotonicMs < end;) {
        now.monotonicMs += tickMs;
        now.wallMs += tickMs;
        if (now.monotonicMs % announceMs == 0) {
            announceAll();
        }
        tick();
    }
}

const model::Task &CellBench::task(const std::string &key) const
{
    return *control::tasksOf(cell.state, key + "@dc1").at(0);
}

model::Reason CellBench::errorOf(control::Token token) const
{
    return static_cast<model::Reason>(replies.at(token).error);
}

std::uint64_t CellBench::reasonCount(model::Reason reason) const
{
    return cell.metrics.reasons.at(static_cast<std::size_t>(reason));
}
}
