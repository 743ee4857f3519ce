#pragma once

#include "config/jsonreader.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryturn::config
{
/** An entry host, as listed in the settings of every host. */
struct HostSettings
{
    std::string id;
    std::string dataCentre;
    std::string address; ///< IPv4 address.
    std::uint16_t peerPort = 0;
    std::uint16_t httpPort = 0;
    bool durable = true; ///< Whether it stores the system state on a disk.
};

/** Durations in milliseconds. */
struct TimingSettings
{
    std::uint64_t heartbeatMs = 0;
    std::uint64_t electionMs = 0;
    std::uint64_t leaderLeaseMs = 0;
    std::uint64_t taskLeaseMs = 0;
    std::uint64_t startWindowMs = 0;
    std::uint64_t announceMs = 0;
    std::uint64_t driftPercent = 0; ///< Maximum difference between the rates of two clocks.
    std::uint64_t answersKeptMs = 0;
    std::uint64_t keysKeptMs = 0;
    std::uint64_t drainMs = 0;
    std::uint64_t peerSilenceMs = 0;
    std::uint64_t startTimeoutMs = 0;
};

/** Limits on sizes and counts. */
struct LimitSettings
{
    std::uint64_t maxBodyBytes = 0;
    std::uint64_t maxConnections = 0;
    std::uint64_t maxWaiters = 0;
    std::uint64_t maxWaitMs = 0;
    std::uint64_t maxQueued = 0;
    std::uint64_t maxKeptAnswers = 0;
    std::uint64_t maxKeptKeys = 0;
    std::uint64_t snapshotEveryEntries = 0;
    std::uint64_t startSenders = 0;
};

/** Settings that a daemon reads at startup. */
struct Settings
{
    std::string cluster;
    std::string host;
    std::string environment;
    std::string dataFolder; ///< Empty for a host without a disk.
    std::string logFile; ///< Empty for the standard error stream.
    std::string logLevel;
    std::vector<HostSettings> hosts;
    TimingSettings timing;
    LimitSettings limits;
};

/** Description of one numeric setting. */
struct SettingInfo
{
    std::string_view name; ///< JSON key, including the unit.
    NumberRange range;
    std::string_view help;
};

/** @return the keys of the object timing. */
std::span<const SettingInfo> timingTable();

/** @return the keys of the object limits. */
std::span<const SettingInfo> limitTable();

/** Parses and validates settings. @param text the JSON text. @param errors receives all errors found. @return the settings, or std::nullopt on errors. */
std::optional<Settings> parseSettings(std::string_view text, std::vector<FieldError> &errors);

/** Reads and validates a settings file. @param file the file. @param errors receives all errors found. @return the settings, or std::nullopt on errors. */
std::optional<Settings> readSettings(const std::filesystem::path &file, std::vector<FieldError> &errors);

/** @param settings settings. @param id the id of a host. @return its entry, or nullptr. */
const HostSettings *findHost(const Settings &settings, std::string_view id);

/** @param settings settings. @return the entry of the local host. */
const HostSettings &ownHost(const Settings &settings);

/** @param settings settings. @return the data centres in the order of their first host. */
std::vector<std::string> dataCentres(const Settings &settings);

/** @param settings settings. @param dataCentre a data centre. @return its hosts, in the order of the settings. */
std::vector<const HostSettings *> hostsInDataCentre(const Settings &settings, std::string_view dataCentre);
}
