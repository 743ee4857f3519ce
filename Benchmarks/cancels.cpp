#include "deployment/leadertesting.h"
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

deployment::LeaderTest makeLeader()
{
    deployment::LeaderTest test;
    test.leader.options.maxHeldBytes = std::uint64_t{16} << 30U; // Measures beyond the bound.
    beginLeading(test, 1);
    wire::PlanAcceptedT plan;
    plan.version = 1;
    plan.queues.push_back(std::make_unique<wire::QueueSpecT>());
    plan.queues.back()->host = "service.example";
    plan.queues.back()->prefix = "/queue01/";
    deployment::LeaderOutput output;
    output.proposals = {wire::encodeChange(std::move(plan))};
    collect(test, std::move(output));
    return test;
}

void cancel(deployment::LeaderTest &test, const std::string &id)
{
    wire::RequestT request;
    request.operation = wire::Operation::JobCancel;
    request.service = "service.example";
    request.path = "/queue01/" + id;
    deployment::LeaderOutput output;
    deployment::handleRequest(test.leader, test.state, 1, std::move(request), test.now, output);
    collect(test, std::move(output));
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
    deployment::LeaderTest test = makeLeader();
    const std::size_t heapBefore = mallinfo2().uordblks;
    const double cancelMicros = microsOf(
        [&] {
            for (std::size_t i = 0; i < count; ++i) {
                char id[17];
                std::snprintf(id, sizeof(id), "%016zx", i);
                cancel(test, id);
            }
        },
        count);
    const std::size_t heapBytes = mallinfo2().uordblks - heapBefore;
    wire::Bytes image;
    const double imageMicros = microsOf(
        [&] {
            image = job::encodeImage(test.state);
        },
        count);
    const auto perId = [count](std::uint64_t bytes) {
        return static_cast<double>(bytes) / static_cast<double>(count);
    };
    std::printf("cancellations of unknown ids: %zu, jobs held: %zu\n", count, test.state.jobs.size());
    std::printf("leader, request to applied record     %8.2f us each\n", cancelMicros);
    std::printf("state and leader                      %8.1f bytes each\n", perId(heapBytes));
    std::printf("snapshot                              %8.1f bytes, %.2f us each\n", perId(image.size()), imageMicros);
    std::printf("estimate of job/footprint.h           %8.1f bytes each\n", perId(test.state.heldBytes));
    return 0;
}
