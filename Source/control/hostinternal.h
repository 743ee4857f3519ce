#pragma once

#include "control/host.h"

/** Functions shared by the source files of the host; not for other areas. */
namespace rosemaryturn::control::internal
{
// hostgroups.cpp
void applyNodeOutput(Host &host, consensus::Node &node, consensus::Output output, const Now &now, HostOutput &result);
void applyCellOutput(Host &host, CellOutput output, const Now &now, HostOutput &result);
void propose(Host &host, const std::string &group, std::vector<wire::Bytes> payloads, const Now &now, HostOutput &result);
void repairMembership(Host &host, consensus::Node &node, const Now &now, HostOutput &result);

// hostrouting.cpp
void finishRequest(Host &host, Token token, wire::ReplyT reply, const Now &now, HostOutput &output);
void retryRoutedRequests(Host &host, const Now &now, HostOutput &output);
void executeRequest(Host &host, Token token, const wire::RequestT &request, const Now &now, HostOutput &output);

// hostconfig.cpp
void executeConfigRequest(Host &host, Token token, const wire::RequestT &request, const Now &now, HostOutput &output);
void readConfig(Host &host, Token token, const wire::RequestT &request, const Now &now, HostOutput &output);
void applyConfigRecord(Host &host, const wire::RecordT &record, const Now &now, HostOutput &output);
void failPendingChanges(Host &host, const Now &now, HostOutput &output);

// hoststatus.cpp
std::string statusOf(const Host &host, const Now &now);
std::string metricsOf(const Host &host);

/** @param reason an error. @param detail further text for the caller. @return a reply with the error. */
wire::ReplyT errorReply(model::Reason reason, const std::string &detail = {});
}
