#include "deployment/leader.h"
#include "job/jobs.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>

/** Prints what cancellations of unknown ids cost a control host. Usage: bench-cancels [COUNT]. */
namespace
{
using namespace rosemaryturn;

/** A leader whose records are committed at once. */
struct Leading
{
    deployment::Leader leader;
    job::State state;
    deployment::Now now{100000, 1700000100000};
};

void commit(Leading &leading, const std::vector<wire::Bytes> &proposals)
{
    for (const wire::Bytes &proposal : proposals) {
        const auto record = wire::decode<wire::RecordT>(proposal);
        job::apply(leading.state, *record);
        deployment::LeaderOutput output;
        deployment::onRecordApplied(leading.leader, leading.state, *record, leading.now, output);
    }
}

Leading makeLeader()
{
    Leading leading;
    leading.leader.options.maxHeldBytes = std::uint64_t{16} << 30U; // Measures beyond the bound.
    deployment::LeaderOutput output;
    deployment::beginLeading(leading.leader, leading.state, 1, leading.now, output);
    wire::PlanAcceptedT plan;
    plan.version = 1;
    plan.queues.push_back(std::make_unique<wire::QueueSpecT>());
    plan.queues.back()->host = "service.example";
    plan.queues.back()->prefix = "/queue01/";
    commit(leading, {wire::encodeChange(std::move(plan))});
    return leading;
}

void cancel(Leading &leading, const std::string &id)
{
    wire::RequestT request;
    request.operation = wire::Operation::JobCancel;
    request.service = "service.example";
    request.path = "/queue01/" + id;
    deployment::LeaderOutput output;
    deployment::handleRequest(leading.leader, leading.state, 1, std::move(request), leading.now, output);
    commit(leading, output.proposals);
}

double microsOf(const std::function<void()> &action, std::size_t times)
{
    const auto begin = std::chrono::steady_clock::now();
    action();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / static_cast<double>(times);
}
}

int main(int argc, char **argv)
{
    const std::size_t count = argc > 1 ? std::stoul(argv[1]) : 100000;
    Leading leading = makeLeader();
    const std::size_t heapBefore = mallinfo2().uordblks;
    const double cancelMicros = microsOf(
        [&] {
            for (std::size_t i = 0; i < count; ++i) {
                char id[17];
                std::snprintf(id, sizeof(id), "%016zx", i);
                cancel(leading, id);
            }
        },
        count);
    const std::size_t heapBytes = mallinfo2().uordblks - heapBefore;
    wire::Bytes image;
    const double imageMicros = microsOf(
        [&] {
            image = job::encodeImage(leading.state);
        },
        count);
    const auto perId = [count](std::uint64_t bytes) {
        return static_cast<double>(bytes) / static_cast<double>(count);
    };
    std::printf("cancellations of unknown ids: %zu, jobs held: %zu\n", count, leading.state.jobs.size());
    std::printf("leader, request to applied record     %8.2f us each\n", cancelMicros);
    std::printf("state and leader                      %8.1f bytes each\n", perId(heapBytes));
    std::printf("snapshot                              %8.1f bytes, %.2f us each\n", perId(image.size()), imageMicros);
    std::printf("estimate of job/footprint.h           %8.1f bytes each\n", perId(leading.state.heldBytes));
    return 0;
}
