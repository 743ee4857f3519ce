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
/** One entry host, as every host's settings name it. */
struct HostSettings
{
    std::string id;
    std::string dataCentre;
    std::string address; ///< IP number.
    std::uint16_t peerPort = 0;
    std::uint16_t httpPort = 0;
    bool durable = true; ///< Whether it has a disk for the system's state.
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
    std::uint64_t driftPercent = 0; ///< Bound on how far two clocks' rates differ.
    std::uint64_t answersKeptMs = 0;
    std::uint64_t keysKeptMs = 0;
    std::uint64_t drainMs = 0;
    std::uint64_t peerSilenceMs = 0;
    std::uint64_t startTimeoutMs = 0;
};

/** Bounds. */
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

/** Everything that a daemon is told before it starts. */
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

/** One row of the table of numeric settings. */
struct SettingInfo
{
    std::string_view name; ///< Key, with its unit.
    NumberRange range;
    std::string_view help;
};

/** @return the keys of the object timing. */
std::span<const SettingInfo> timingTable();

/** @return the keys of the object limits. */
std::span<const SettingInfo> limitTable();

/** Parses and checks settings as a whole. @param text the JSON text. @param errors receives everything that is wrong. @return the settings, or nothing. */
std::optional<Settings> parseSettings(std::string_view text, std::vector<FieldError> &errors);

/** Reads and checks a settings file. @param file the file. @param errors receives everything that is wrong. @return the settings, or nothing. */
std::optional<Settings> readSettings(const std::filesystem::path &file, std::vector<FieldError> &errors);

/** @param settings settings. @param id a host. @return its entry, or null. */
const HostSettings *findHost(const Settings &settings, std::string_view id);

/** @param settings settings. @return the entry of the own host. */
const HostSettings &ownHost(const Settings &settings);

/** @param settings settings. @return the data centres in the order of their first host. */
std::vector<std::string> dataCentres(const Settings &settings);

/** @param settings settings. @param dataCentre one of them. @return its hosts, in order. */
std::vector<const HostSettings *> hostsInDataCentre(const Settings &settings, std::string_view dataCentre);
}
