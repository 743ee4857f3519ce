#pragma once

#include "config/jsonreader.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryturn::config
{
/** An IP address and a port; port 0 if not set. */
struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;
};

/** Settings of a host in the deployment scope: hosts are discovered through seeds, and one consensus group stores the state of all data centres. */
struct DeploymentSettings
{
    std::string cluster;
    std::string host; ///< Id of the host, which is its IP address.
    std::string dataCentre;
    std::string dataFolder; ///< Empty for a host without a disk.
    std::string logLevel;
    std::uint16_t peerPort = 0; ///< Same on all hosts.
    std::uint16_t metricsPort = 0;
    SocketAddress callers;
    SocketAddress readiness;
    SocketAddress control;
    SocketAddress advice;
    SocketAddress machines;
    std::vector<SocketAddress> seeds;
    bool founding = false; ///< Whether this is the first start of the whole system.
    std::uint64_t leaseMs = 0;
    std::uint64_t longestLeaseMs = 0;
    std::uint64_t stopMs = 0;
    std::uint64_t gangWaitMs = 0;
    std::uint64_t drainMs = 0;
    std::uint64_t graceMs = 0;
    std::uint64_t keepJobsMs = 0;
    std::uint64_t heartbeatMs = 0;
    std::uint64_t memoryMb = 0; ///< Memory that the process may use.
    std::uint64_t maxConnections = 0; ///< Open connections of clients; 0 derives the limit from memory and descriptors.
    std::uint64_t maxBodiesMb = 0; ///< Total size of the bodies of clients; 0 derives the limit from memory.
    std::uint64_t requestMs = 0; ///< Time that a client may take to send a request.
    bool overload = false; ///< Whether jobs are ordered and admitted by what delays cost, also under a plan without teams.
    std::uint64_t couriersFromUpstreams = 0; ///< Number of upstreams from which non-voting hosts (couriers) deliver the orders of the leader.
};

/** @param text IP:PORT. @return the address; port 0 if the text is not valid. */
SocketAddress parseAddress(std::string_view text);

/** Parses and validates the settings. @param text the JSON text. @param errors receives all errors found. @return the settings, or std::nullopt on errors. */
std::optional<DeploymentSettings> parseDeploymentSettings(std::string_view text, std::vector<FieldError> &errors);

/** Reads and validates a settings file. @param file the file. @param errors receives all errors found. @return the settings, or std::nullopt on errors. */
std::optional<DeploymentSettings> readDeploymentSettings(const std::filesystem::path &file, std::vector<FieldError> &errors);
}
