#include "transport/sharedcall.h"
#include "testing.h"

#include <future>
#include <thread>
#include <vector>

using namespace rosemaryturn::transport;

// Guards against a copy of the response for each caller, and against a response that was made before the caller asked.
TEST_CASE(SharedCall, CallersThatWaitShareTheNextResponse)
{
    SharedCall shared;
    std::promise<void> firstBegun;
    std::promise<void> finishFirst;
    int calls = 0;
    HttpResponse first;
    std::thread runner([&] {
        first = shared.run([&] {
            ++calls;
            firstBegun.set_value();
            finishFirst.get_future().wait();
            return HttpResponse{200, "first"};
        });
    });
    firstBegun.get_future().wait();
    std::vector<HttpResponse> responses(8);
    std::vector<std::thread> waiting;
    waiting.reserve(responses.size());
    for (HttpResponse &response : responses) {
        waiting.emplace_back([&] {
            response = shared.run([&] {
                ++calls;
                return HttpResponse{503, "second", 1000};
            });
        });
    }
    finishFirst.set_value();
    runner.join();
    for (std::thread &thread : waiting) {
        thread.join();
    }
    CHECK_TEXT("first", *first.sharedBody);
    for (const HttpResponse &response : responses) {
        CHECK_TEXT("second", *response.sharedBody);
        CHECK_EQUAL(503U, response.status);
        CHECK_EQUAL(1000U, response.retryAfterMs);
    }
    CHECK(calls >= 2);
}
