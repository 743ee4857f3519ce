#pragma once

#include "control/cell.h"
#include "fakes/bench.h"

#include <map>
#include <string>
#include <vector>

namespace rosemaryturn::fakes
{
/** A single leading cell whose log commits immediately, for tests of its decisions. */
struct CellBench
{
    /** @param document the document in force in the environment production. */
    explicit CellBench(const std::string &document);

    /** Sends a request to the cell. @param request the request. @return the token of the reply. */
    control::Token send(const wire::RequestT &request);
    /** Submits a task. @param service its service. @param key its key. @param change modifies the task specification. @return the token of the reply. */
    control::Token submit(const std::string &service, const std::string &key, const std::function<void(wire::TaskSpecT &)> &change = {});
    /** Adds a worker and announces it. @param worker its name. @param offer its resources. @param rack its rack. */
    void addWorker(const std::string &worker, const model::Resources &offer, const std::string &rack = "r");
    /** Announces a worker again. @param worker its name. @param running the tasks that it lists. @return the token of the reply. */
    control::Token announce(const std::string &worker, const std::vector<wire::RunningTaskT> &running = {});
    /** Announces every worker with all tasks that run on it. */
    void announceAll();
    /** Submits the result of a task. @param order its start order. @param failed whether it failed. @return the token of the reply. */
    control::Token finishTask(const control::StartOrder &order, bool failed = false);
    /** Delivers the reply of another data centre. @param call the spill call. @param reply the reply. */
    void deliverSpillReply(const control::SpillCall &call, const wire::ReplyT &reply);
    /** Performs the effects of a call to the cell: applies proposals, stores replies and starts tasks. @param output the effects. */
    void handleOutput(control::CellOutput output);
    /** Advances the time in ticks and announces all workers each second. @param milliseconds the duration. */
    void run(std::uint64_t milliseconds);
    /** Applies a new document to the environment production. @param document the document. */
    void apply(const std::string &document);

    /** @param key a key without its data centre. @return its first task. */
    const model::Task &task(const std::string &key) const;
    /** @param token the token of a reply. @return its error. */
    model::Reason errorOf(control::Token token) const;
    /** @param reason a reason. @return its counter. */
    std::uint64_t reasonCount(model::Reason reason) const;

    control::Now now{10000, 1'700'000'000'000};
    control::ConfigState config;
    control::Cell cell;
    std::map<std::string, wire::WorkerRegisteredT> shapes;
    std::map<std::string, std::uint64_t> announcementNumbers;
    std::map<std::string, std::map<model::TaskId, std::uint32_t>> runningTasks; ///< Attempt numbers by worker and task.
    std::vector<control::StartOrder> starts; ///< All start orders so far.
    std::vector<control::SpillCall> spills; ///< All spill calls so far.
    std::map<control::Token, wire::ReplyT> replies;
    control::Token nextToken = 1;

private:
    void tick();
};
}
