#include "config/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <set>

namespace rosemaryturn::config
{
namespace
{
constexpr std::size_t maxNameLength = 100;
constexpr std::size_t maxPathLength = 1000;
constexpr std::uint64_t maxPort = 65535;
constexpr std::uint64_t dayMs = 24ULL * 3600 * 1000;
constexpr std::size_t maxHosts = 64;

using TimingMember = std::uint64_t TimingSettings::*;
using LimitMember = std::uint64_t LimitSettings::*;

constexpr std::array timingSettings{
    SettingInfo{"heartbeatMs", {10, 10000, 150}, "time between two rounds of a leader"},
    SettingInfo{"electionMs", {50, 60000, 1000}, "silence of a leader after which another may be elected"},
    SettingInfo{"leaderLeaseMs", {30, 60000, 800}, "how long one acknowledged round lets a leader act"},
    SettingInfo{"taskLeaseMs", {100, 600000, 5000}, "how long a worker runs a task without a renewal"},
    SettingInfo{"startWindowMs", {100, 60000, 3000}, "age of an announcement up to which a worker takes starts that refer to it"},
    SettingInfo{"announceMs", {50, 60000, 1000}, "time between two announcements of a worker"},
    SettingInfo{"driftPercent", {0, 50, 5}, "bound on how far the rates of two hosts' clocks differ"},
    SettingInfo{"answersKeptMs", {1000, 7 * dayMs, 600000}, "how long an answer is kept after the end of its task"},
    SettingInfo{"keysKeptMs", {1000, 30 * dayMs, dayMs}, "how long a key is remembered after the end of its task"},
    SettingInfo{"drainMs", {0, 600000, 30000}, "longest wait for requests in flight at a shutdown"},
    SettingInfo{"peerSilenceMs", {100, 60000, 1500}, "silence after which a connection between hosts is replaced"},
    SettingInfo{"startTimeoutMs", {50, 60000, 2000}, "longest wait for a worker's reply to a start"},
};
constexpr std::array<TimingMember, timingSettings.size()> timingMembers{
    &TimingSettings::heartbeatMs,
    &TimingSettings::electionMs,
    &TimingSettings::leaderLeaseMs,
    &TimingSettings::taskLeaseMs,
    &TimingSettings::startWindowMs,
    &TimingSettings::announceMs,
    &TimingSettings::driftPercent,
    &TimingSettings::answersKeptMs,
    &TimingSettings::keysKeptMs,
    &TimingSettings::drainMs,
    &TimingSettings::peerSilenceMs,
    &TimingSettings::startTimeoutMs,
};
constexpr std::array limitSettings{
    SettingInfo{"maxBodyBytes", {1024, 16ULL << 20U, 1ULL << 20U}, "longest body of a request"},
    SettingInfo{"maxConnections", {8, 10000, 1000}, "connections of callers and upstreams"},
    SettingInfo{"maxWaiters", {1, 10000, 512}, "callers that wait on this host at a time"},
    SettingInfo{"maxWaitMs", {100, 600000, 60000}, "longest wait that a caller may ask for"},
    SettingInfo{"maxQueued", {1, 1000000, 20000}, "waiting tasks in a data centre"},
    SettingInfo{"maxKeptAnswers", {100, 50000000, 30000}, "ended requests that keep their answers, the latest ones"},
    SettingInfo{"maxKeptKeys", {1000, 50000000, 300000}, "keys that a data centre remembers after their answers are gone, about 110 bytes each"},
    SettingInfo{"snapshotEveryEntries", {10, 1000000, 5000}, "log entries after which a snapshot is taken"},
    SettingInfo{"startSenders", {1, 64, 4}, "threads that send starts to workers"},
};
constexpr std::array<LimitMember, limitSettings.size()> limitMembers{
    &LimitSettings::maxBodyBytes,
    &LimitSettings::maxConnections,
    &LimitSettings::maxWaiters,
    &LimitSettings::maxWaitMs,
    &LimitSettings::maxQueued,
    &LimitSettings::maxKeptAnswers,
    &LimitSettings::maxKeptKeys,
    &LimitSettings::snapshotEveryEntries,
    &LimitSettings::startSenders,
};

const nlohmann::json emptyObject = nlohmann::json::object();

template<typename Target, typename Table, typename Members>
Target readTable(ObjectReader &parent, const char *name, const Table &table, const Members &members, std::vector<FieldError> &errors)
{
    const nlohmann::json *value = parent.object(name);
    ObjectReader reader(value == nullptr ? emptyObject : *value, parent.pointerTo(name), errors);
    Target target;
    for (std::size_t i = 0; i < table.size(); ++i) {
        target.*members[i] = reader.number(table[i].name.data(), table[i].range);
    }
    reader.reportUnknownFields();
    return target;
}

bool isIpv4Address(const std::string &address)
{
    in_addr parsed{};
    return inet_pton(AF_INET, address.c_str(), &parsed) == 1;
}

HostSettings readHost(const nlohmann::json &value, const std::string &pointer, std::vector<FieldError> &errors)
{
    ObjectReader reader(value, pointer, errors);
    HostSettings host;
    host.id = reader.requiredText("id", maxNameLength);
    host.dataCentre = reader.requiredText("dataCentre", maxNameLength);
    host.address = reader.requiredText("address", maxNameLength);
    if (!host.address.empty() && !isIpv4Address(host.address)) {
        reader.addError("address", model::Reason::OutOfRange, "must be an IPv4 address such as 127.0.0.1");
    }
    host.peerPort = static_cast<std::uint16_t>(reader.requiredNumber("peerPort", {1, maxPort, 0}));
    host.httpPort = static_cast<std::uint16_t>(reader.requiredNumber("httpPort", {1, maxPort, 0}));
    host.durable = reader.flag("durable", true);
    reader.reportUnknownFields();
    return host;
}

void readHosts(ObjectReader &reader, Settings &settings, std::vector<FieldError> &errors)
{
    const nlohmann::json *hosts = reader.array("hosts");
    if (hosts == nullptr || hosts->empty() || hosts->size() > maxHosts) {
        reader.addError("hosts", model::Reason::MissingField, "must list 1 to " + std::to_string(maxHosts) + " entry hosts");
        return;
    }
    std::set<std::string> ids;
    for (std::size_t i = 0; i < hosts->size(); ++i) {
        const std::string pointer = reader.pointerTo("hosts") + "/" + std::to_string(i);
        settings.hosts.push_back(readHost((*hosts)[i], pointer, errors));
        if (!ids.insert(settings.hosts.back().id).second) {
            errors.push_back({model::Reason::OutOfRange, pointer + "/id", settings.hosts.back().id, "must be unique"});
        }
    }
}

void checkTiming(const TimingSettings &timing, std::vector<FieldError> &errors)
{
    const auto requireLess = [&errors](const char *name, std::uint64_t value, std::uint64_t bound, const std::string &remedy) {
        if (value >= bound) {
            errors.push_back({model::Reason::OutOfRange, std::string("/timing/") + name, std::to_string(value), remedy});
        }
    };
    const std::uint64_t percentScale = 100;
    requireLess("heartbeatMs", timing.heartbeatMs * 2, timing.leaderLeaseMs + 1, "must not exceed half of leaderLeaseMs");
    requireLess("leaderLeaseMs",
                timing.leaderLeaseMs * (percentScale + timing.driftPercent),
                timing.electionMs * percentScale + 1,
                "must not exceed electionMs when increased by driftPercent");
    requireLess("announceMs", timing.announceMs * 2, timing.startWindowMs + 1, "must not exceed half of startWindowMs");
    requireLess("announceMs", timing.announceMs * 2, timing.taskLeaseMs + 1, "must not exceed half of taskLeaseMs");
    requireLess("answersKeptMs", timing.answersKeptMs, timing.keysKeptMs + 1, "must not exceed keysKeptMs");
}

void checkOwnHost(ObjectReader &reader, const Settings &settings)
{
    const HostSettings *own = findHost(settings, settings.host);
    if (own == nullptr) {
        reader.addError("host", model::Reason::OutOfRange, "must be one of the ids in hosts");
        return;
    }
    if (own->durable && settings.dataFolder.empty()) {
        reader.addError("dataFolder", model::Reason::MissingField, "must be a folder on the disk, unless durable is false for this host");
    }
    if (!own->durable && !settings.dataFolder.empty()) {
        reader.addError("dataFolder", model::Reason::OutOfRange, "must be empty unless durable is true for this host");
    }
}
}

std::span<const SettingInfo> timingTable()
{
    return timingSettings;
}

std::span<const SettingInfo> limitTable()
{
    return limitSettings;
}

std::optional<Settings> parseSettings(std::string_view text, std::vector<FieldError> &errors)
{
    const nlohmann::json value = parseJson(text, errors);
    if (!errors.empty()) {
        return std::nullopt;
    }
    ObjectReader reader(value, "", errors);
    Settings settings;
    settings.cluster = reader.requiredText("cluster", maxNameLength);
    settings.host = reader.requiredText("host", maxNameLength);
    settings.environment = reader.text("environment", "production", maxNameLength);
    settings.dataFolder = reader.text("dataFolder", "", maxPathLength);
    settings.logFile = reader.text("logFile", "", maxPathLength);
    settings.logLevel = reader.text("logLevel", "info", maxNameLength);
    constexpr std::array levels{"debug", "info", "warn", "error"};
    if (std::find(levels.begin(), levels.end(), settings.logLevel) == levels.end()) {
        reader.addError("logLevel", model::Reason::OutOfRange, "must be debug, info, warn or error");
    }
    readHosts(reader, settings, errors);
    settings.timing = readTable<TimingSettings>(reader, "timing", timingSettings, timingMembers, errors);
    settings.limits = readTable<LimitSettings>(reader, "limits", limitSettings, limitMembers, errors);
    checkTiming(settings.timing, errors);
    checkOwnHost(reader, settings);
    reader.reportUnknownFields();
    return errors.empty() ? std::optional(std::move(settings)) : std::nullopt;
}

std::optional<Settings> readSettings(const std::filesystem::path &file, std::vector<FieldError> &errors)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        errors.push_back({model::Reason::NotFound, "", file.string(), "settings file cannot be read"});
        return std::nullopt;
    }
    const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    return parseSettings(text, errors);
}

const HostSettings *findHost(const Settings &settings, std::string_view id)
{
    const auto found = std::find_if(settings.hosts.begin(), settings.hosts.end(), [id](const HostSettings &host) {
        return host.id == id;
    });
    return found == settings.hosts.end() ? nullptr : &*found;
}

const HostSettings &ownHost(const Settings &settings)
{
    return *findHost(settings, settings.host);
}

std::vector<std::string> dataCentres(const Settings &settings)
{
    std::vector<std::string> names;
    for (const HostSettings &host : settings.hosts) {
        if (std::find(names.begin(), names.end(), host.dataCentre) == names.end()) {
            names.push_back(host.dataCentre);
        }
    }
    return names;
}

std::vector<const HostSettings *> hostsInDataCentre(const Settings &settings, std::string_view dataCentre)
{
    std::vector<const HostSettings *> hosts;
    for (const HostSettings &host : settings.hosts) {
        if (host.dataCentre == dataCentre) {
            hosts.push_back(&host);
        }
    }
    return hosts;
}
}
