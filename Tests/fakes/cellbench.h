#pragma once

#include "control/cell.h"
#include "fakes/bench.h"

#include <map>
#include <string>
#include <vector>

namespace rosemaryturn::fakes
{
/** One leading cell whose log commits at once, for tests of decisions. */
struct CellBench
{
    /** @param document the document in force in the environment production. */
    explicit CellBench(const std::string &document);

    /** Handles a request. @param request the request. @return names its answer. */
    control::Token send(const wire::RequestT &request);
    /** Submits a task. @param service its service. @param key its key. @param change edits the task. @return names the answer. */
    control::Token submit(const std::string &service, const std::string &key, const std::function<void(wire::TaskSpecT &)> &change = {});
    /** Adds a worker and announces it. @param worker its name. @param offer what it offers. @param rack its rack. */
    void addWorker(const std::string &worker, const model::Resources &offer, const std::string &rack = "r");
    /** Announces a worker again. @param worker its name. @param running what it holds. @return names the answer. */
    control::Token announce(const std::string &worker, const std::vector<wire::RunningTaskT> &running = {});
    /** Announces every worker with all that it was told to start. */
    void announceAll();
    /** Hands in the end of a task. @param order its start. @param failed whether it failed. @return names the answer. */
    control::Token finishTask(const control::StartOrder &order, bool failed = false);
    /** Hands in the answer of another data centre. @param call the call. @param reply the answer. */
    void deliverSpillReply(const control::SpillCall &call, const wire::ReplyT &reply);
    /** Carries out what a call to the cell asked for. @param output what it asked. */
    void handleOutput(control::CellOutput output);
    /** Lets time pass in ticks, announcing all workers each second. @param milliseconds how long. */
    void run(std::uint64_t milliseconds);
    /** Puts another document in force. @param document the document. */
    void apply(const std::string &document);

    /** @param key a key without its data centre. @return the first task of it. */
    const model::Task &task(const std::string &key) const;
    /** @param token names an answer. @return its error. */
    model::Reason errorOf(control::Token token) const;
    /** @param reason a reason. @return how often it was counted. */
    std::uint64_t reasonCount(model::Reason reason) const;

    control::Now now{10000, 1'700'000'000'000};
    control::ConfigState config;
    control::Cell cell;
    std::map<std::string, wire::WorkerRegisteredT> shapes;
    std::map<std::string, std::uint64_t> announcementNumbers;
    std::map<std::string, std::map<model::TaskId, std::uint32_t>> runningTasks; ///< Attempts by worker.
    std::vector<control::StartOrder> starts; ///< All orders so far.
    std::vector<control::SpillCall> spills; ///< All calls to other data centres so far.
    std::map<control::Token, wire::ReplyT> replies;
    control::Token nextToken = 1;

private:
    void tick();
};
}
