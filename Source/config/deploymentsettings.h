#pragma once

#include "config/jsonreader.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryturn::config
{
/** An IP number and a port; port 0 for none. */
struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;
};

/** Settings of a host in the deployment scope: hosts are found through seeds, and one group keeps the state of all data centres. */
struct DeploymentSettings
{
    std::string cluster;
    std::string host; ///< Its id, which is its IP number.
    std::string dataCentre;
    std::string dataFolder; ///< Empty for a host without a disk.
    std::string logLevel;
    std::uint16_t peerPort = 0; ///< The same on all hosts.
    std::uint16_t metricsPort = 0;
    SocketAddress callers;
    SocketAddress readiness;
    SocketAddress control;
    SocketAddress advice;
    SocketAddress machines;
    std::vector<SocketAddress> seeds;
    bool founding = false; ///< Whether the whole system starts for the first time.
    std::uint64_t leaseMs = 0;
    std::uint64_t longestLeaseMs = 0;
    std::uint64_t stopMs = 0;
    std::uint64_t gangWaitMs = 0;
    std::uint64_t drainMs = 0;
    std::uint64_t graceMs = 0;
    std::uint64_t keepJobsMs = 0;
    std::uint64_t heartbeatMs = 0;
    std::uint64_t couriersFromUpstreams = 0; ///< With as many upstreams, hosts without a vote deliver the orders of the leader.
};

/** @param text IP:PORT. @return the address; port 0 when the text is none. */
SocketAddress parseAddress(std::string_view text);

/** Parses and checks the settings as a whole. @param text the JSON text. @param errors receives everything that is wrong. @return the settings, or nothing. */
std::optional<DeploymentSettings> parseDeploymentSettings(std::string_view text, std::vector<FieldError> &errors);

/** Reads and checks a settings file. @param file the file. @param errors receives everything that is wrong. @return the settings, or nothing. */
std::optional<DeploymentSettings> readDeploymentSettings(const std::filesystem::path &file, std::vector<FieldError> &errors);
}
