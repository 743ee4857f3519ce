#pragma once

#include "config/jsonreader.h"
#include "control/cell.h"
#include "transport/httpserver.h"
#include "wire/codec.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

/** Conversion between the JSON of the HTTP APIs and the internal message types. */
namespace rosemaryturn::transport
{
/** Maximum number of tasks of a gang. */
constexpr std::uint32_t maxGangSize = 1000;

/** @param text the text to check. @return whether it is a valid key, with or without the suffix @DATA-CENTRE. */
bool isValidKey(std::string_view text);

/** Parses the body of a submission. @param body the JSON text. @param environment default environment. @param errors receives the errors found. @return the
 * request. */
wire::RequestT readSubmission(std::string_view body, const std::string &environment, std::vector<config::FieldError> &errors);

/** Parses the body of an announcement. @param body the JSON text. @param worker worker name from the path. @param errors receives the errors found. @return the
 * request. */
wire::RequestT readAnnouncement(std::string_view body, const std::string &worker, std::vector<config::FieldError> &errors);

/** Parses the body of results. @param body the JSON text. @param worker worker name from the path. @param errors receives the errors found. @return the
 * request. */
wire::RequestT readResults(std::string_view body, const std::string &worker, std::vector<config::FieldError> &errors);

/** Parses the body of a configuration change. @param body the JSON text. @param environment environment name from the path. @param errors receives the errors
 * found. @return the request. */
wire::RequestT readConfigChange(std::string_view body, const std::string &environment, std::vector<config::FieldError> &errors);

/** Parses the body of a verdict. @param body the JSON text. @param errors receives the errors found. @return the request. */
wire::RequestT readVerdict(std::string_view body, std::vector<config::FieldError> &errors);

/** @param reason the reason for the refusal. @param detail the part of the request at fault; may be empty. @param retryAfterMs delay before a retry; 0 if
 * unspecified. @return the error response. */
HttpResponse refusal(model::Reason reason, const std::string &detail, std::uint32_t retryAfterMs = 0);

/** Refuses a request before it reaches the control thread and counts the refusal. @param reason the reason. @param detail the part of the request at fault.
 * @return the error response. */
HttpResponse refuseAtEdge(model::Reason reason, const std::string &detail);

/** Refuses a request with an invalid body and counts the refusal. @param errors the errors found, at least one. @return the error response. */
HttpResponse refusal(const std::vector<config::FieldError> &errors);

/** @param reply reply to a task request. @return the response, with status 200 if all tasks have ended, else 202. */
HttpResponse taskResponse(const wire::ReplyT &reply);

/** @param reply reply to an announcement. @return the response. */
HttpResponse announcementResponse(const wire::ReplyT &reply);

/** @param reply reply to reported results. @return the response. */
HttpResponse resultsResponse(const wire::ReplyT &reply);

/** @param order a start order. @return its JSON as sent to the worker. */
nlohmann::json startJson(const control::StartOrder &order);

/** @param bytes the bytes to encode. @return the Base64 text. */
std::string toBase64(const wire::Bytes &bytes);

/** @param text the Base64 text. @param bytes receives the decoded bytes. @return false if the text is not valid Base64. */
bool fromBase64(const std::string &text, wire::Bytes &bytes);

/** Adds bytes to a JSON object: as text field NAME if they are valid UTF-8, else as field NAMEBase64. @param json the object. @param name the field name.
 * @param bytes the bytes. */
void putBytes(nlohmann::json &json, const std::string &name, const wire::Bytes &bytes);
}
