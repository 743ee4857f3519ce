#include "eventlist.h"

#include <random>

namespace rosemaryturn::benchmarks
{
namespace
{
constexpr std::uint64_t cpuPerWorker = 16000;
constexpr std::uint64_t memoryPerWorker = 65536;

Arrival drawArrival(std::mt19937_64 &random)
{
    std::uniform_int_distribution<int> hundred(0, 99);
    std::uniform_int_distribution<std::uint64_t> few(1, 4);
    Arrival arrival;
    const int kind = hundred(random);
    if (kind < 5) {
        arrival.service = "urgent";
        arrival.urgent = true;
        arrival.need = {1000, 2048, 0, 1};
        arrival.runMs = 2000;
    } else if (kind < 8) {
        arrival.service = "gang";
        arrival.gangSize = static_cast<std::uint32_t>(2 + 2 * few(random));
        arrival.need = {2000, 8192, 0, 1};
    } else if (kind < 16) {
        arrival.service = "render";
        arrival.need = {2000, 8192, 1, 1};
    } else if (kind < 58) {
        arrival.service = "wide";
        arrival.need = {1000 * few(random), 2048, 0, 1};
    } else {
        arrival.service = "tall";
        arrival.need = {500, 4096 * few(random), 0, 1};
    }
    if (!arrival.urgent) {
        std::exponential_distribution<double> run(1.0 / 10000);
        arrival.runMs = 1000 + static_cast<std::uint64_t>(run(random));
    }
    return arrival;
}

double meanCpuMs(std::uint64_t seed)
{
    constexpr int samples = 20000;
    std::mt19937_64 random(seed);
    double total = 0;
    for (int i = 0; i < samples; ++i) {
        const Arrival arrival = drawArrival(random);
        total += static_cast<double>(arrival.need.cpuMillis * arrival.gangSize * arrival.runMs);
    }
    return total / samples;
}
}

model::Resources offerOfWorker(std::size_t number)
{
    return {cpuPerWorker, memoryPerWorker, number % 4 == 0 ? 2ULL : 0ULL, 16};
}

std::vector<Arrival> makeEventList(const EventListOptions &options)
{
    const double perMs = options.load * static_cast<double>(options.workers * cpuPerWorker) / meanCpuMs(options.seed);
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> gap(perMs);
    std::vector<Arrival> list;
    double atMs = gap(random);
    while (atMs < static_cast<double>(options.durationMs)) {
        list.push_back(drawArrival(random));
        list.back().atMs = static_cast<std::uint64_t>(atMs);
        atMs += gap(random);
    }
    return list;
}

std::string benchmarkDocument()
{
    const std::string common = R"(","team":"t","home":"dc1","cpuMillis":500,"memoryMb":512,"queueMs":30000)";
    std::string services;
    for (const char *name : {"urgent", "render", "wide", "tall"}) {
        services += std::string(R"({"name":")") + name + common + "},";
    }
    return R"({"teams":[{"name":"t"}],"services":[)" + services + R"({"name":"gang)" + common + R"(,"kind":"gang"}]})";
}
}
