#include "config/deploymentsettings.h"

#include <charconv>
#include <fstream>
#include <iterator>

namespace rosemaryturn::config
{
namespace
{
constexpr std::size_t maxTextLength = 200;
constexpr std::uint64_t maxPort = 65535;
constexpr std::uint64_t maxDurationMs = 3600000;
constexpr std::uint64_t maxUpstreams = 1000000;
constexpr std::uint64_t maxMemoryMb = 1000000;
constexpr std::uint64_t maxClientConnections = 100000;

SocketAddress readAddress(ObjectReader &reader, const char *name, std::vector<FieldError> &errors)
{
    const std::string text = reader.text(name, "", maxTextLength);
    SocketAddress address = parseAddress(text);
    if (!text.empty() && address.port == 0) {
        errors.push_back({model::Reason::OutOfRange, reader.pointerTo(name), text, "must be an IP address and a port, such as 10.0.0.1:8080"});
    }
    return address;
}

void readSeeds(ObjectReader &reader, DeploymentSettings &settings, std::vector<FieldError> &errors)
{
    const nlohmann::json *seeds = reader.array("seeds");
    if (seeds == nullptr) {
        return;
    }
    for (const auto &seed : *seeds) {
        const SocketAddress address = seed.is_string() ? parseAddress(seed.get<std::string>()) : SocketAddress{};
        if (address.port == 0) {
            errors.push_back({model::Reason::WrongType, reader.pointerTo("seeds"), seed.dump(), "each seed must be an address as IP:PORT"});
        } else {
            settings.seeds.push_back(address);
        }
    }
}
}

SocketAddress parseAddress(std::string_view text)
{
    SocketAddress address;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return address;
    }
    const std::string_view port = text.substr(colon + 1);
    const auto result = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (result.ec != std::errc{} || result.ptr != port.data() + port.size()) {
        address.port = 0;
        return address;
    }
    address.ip = text.substr(0, colon);
    return address;
}

std::optional<DeploymentSettings> parseDeploymentSettings(std::string_view text, std::vector<FieldError> &errors)
{
    const nlohmann::json json = parseJson(text, errors);
    if (!errors.empty()) {
        return std::nullopt;
    }
    DeploymentSettings settings;
    ObjectReader reader(json, "", errors);
    settings.cluster = reader.text("cluster", "deployment", maxTextLength);
    settings.host = reader.requiredText("host", maxTextLength);
    settings.dataCentre = reader.requiredText("dataCentre", maxTextLength);
    settings.dataFolder = reader.text("dataFolder", "", maxTextLength);
    settings.logLevel = reader.text("logLevel", "info", maxTextLength);
    settings.peerPort = static_cast<std::uint16_t>(reader.requiredNumber("peerPort", {1, maxPort, 0}));
    settings.metricsPort = static_cast<std::uint16_t>(reader.number("metricsPort", {0, maxPort, 0}));
    settings.callers = readAddress(reader, "callers", errors);
    settings.readiness = readAddress(reader, "readiness", errors);
    settings.control = readAddress(reader, "control", errors);
    settings.advice = readAddress(reader, "advice", errors);
    settings.machines = readAddress(reader, "machines", errors);
    readSeeds(reader, settings, errors);
    settings.founding = reader.flag("founding", false);
    // The default covers a change of leaders, and work on a lost upstream is still restarted soon.
    settings.longestLeaseMs = reader.number("longestLeaseMs", {1000, maxDurationMs, 10000});
    settings.leaseMs = std::min(reader.number("leaseMs", {1000, maxDurationMs, 5000}), settings.longestLeaseMs);
    settings.stopMs = reader.number("stopMs", {1, maxDurationMs, 1000});
    settings.gangWaitMs = reader.number("gangWaitMs", {100, maxDurationMs, 3000});
    settings.drainMs = reader.number("drainMs", {100, maxDurationMs, 3000});
    settings.graceMs = reader.number("graceMs", {100, maxDurationMs, 6000});
    settings.keepJobsMs = reader.number("keepJobsMs", {1000, 100 * maxDurationMs, 180000});
    settings.heartbeatMs = reader.number("heartbeatMs", {100, maxDurationMs, 1500});
    settings.memoryMb = reader.number("memoryMb", {64, maxMemoryMb, 256});
    settings.maxConnections = reader.number("maxConnections", {0, maxClientConnections, 0});
    settings.maxBodiesMb = reader.number("maxBodiesMb", {0, maxMemoryMb, 0});
    settings.requestMs = reader.number("requestMs", {1000, maxDurationMs, 30000});
    // All calls of the leader take 0.08 of a core at 48 upstreams; at 350 upstreams, the calls alone take 0.4.
    settings.couriersFromUpstreams = reader.number("couriersFromUpstreams", {1, maxUpstreams, 100});
    settings.overload = reader.flag("overload", false);
    reader.reportUnknownFields();
    if (!errors.empty()) {
        return std::nullopt;
    }
    return settings;
}

std::optional<DeploymentSettings> readDeploymentSettings(const std::filesystem::path &file, std::vector<FieldError> &errors)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        errors.push_back({model::Reason::NotFound, "", file.string(), "settings file cannot be read"});
        return std::nullopt;
    }
    const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    return parseDeploymentSettings(text, errors);
}
}
