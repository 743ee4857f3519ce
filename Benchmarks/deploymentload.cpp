#include "fakes/fleet.h"

#include <chrono>
#include <iostream>

/** Processor time of the deployment scope under a load like the users' largest: bench-deploymentload UPSTREAMS JOBS-A-SECOND SECONDS. */
int main(int argc, char **argv)
{
    using namespace rosemaryturn;
    const auto number = [&](int position, std::uint32_t preset) {
        return argc > position ? static_cast<std::uint32_t>(std::stoul(argv[position])) : preset;
    };
    fakes::FleetOptions options;
    options.upstreams = number(1, 350);
    options.cpuMillis = 32000;
    options.memoryMb = 128000;
    options.allowedShare = 0.5;
    fakes::Fleet fleet(options);
    fleet.run(6000);
    fleet.putPlan(3, 2, true);
    const std::uint32_t perSecond = number(2, 110);
    const std::uint32_t seconds = number(3, 10);
    const auto began = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < perSecond * seconds; ++i) {
        const std::uint32_t kind = i % 20;
        wire::StepSpecT step = kind == 0 ? fakes::makeStep(20, 9000, 4000) : kind < 3 ? fakes::makeStep(25, 3500, 2700) : fakes::makeStep(3, 5000, 800);
        step.gang = kind == 0;
        fleet.submit("/" + std::to_string(kind == 0 ? 1 : kind < 3 ? 2 : 0) + "/j" + std::to_string(i), {step});
        fleet.run(1000 / perSecond);
    }
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began).count();
    std::cout << "upstreams " << options.upstreams << ", jobs/s " << perSecond << ", starts " << fleet.starts << ", real ms a second of the fleet "
              << took / static_cast<long>(seconds) << ", broken " << fleet.violations.size() << '\n';
    return 0;
}
