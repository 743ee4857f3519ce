#pragma once

#include "model/resources.h"

#include <cstdint>
#include <string>
#include <vector>

/** Event lists for the benchmarks of decisions; the same seed gives the same list. */
namespace rosemaryturn::benchmarks
{
/** One piece of work that arrives. */
struct Arrival
{
    std::uint64_t atMs = 0;
    std::string service; ///< One of the services of benchmarkDocument().
    bool urgent = false;
    std::uint32_t gangSize = 1;
    model::Resources need;
    std::uint64_t runMs = 0;
};

/** Shape of a list. */
struct EventListOptions
{
    std::uint64_t seed = 1;
    std::size_t workers = 50;
    double load = 1; ///< Offered processor time as a multiple of what the workers offer.
    std::uint64_t durationMs = 120000;
};

/** @param options see there. @return arrivals in the order of their times. */
std::vector<Arrival> makeEventList(const EventListOptions &options);

/** @param number a worker's number. @return what it offers: every fourth has accelerators. */
model::Resources offerOfWorker(std::size_t number);

/** @return the document that the arrivals refer to. */
std::string benchmarkDocument();
}
