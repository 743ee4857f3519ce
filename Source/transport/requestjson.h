#pragma once

#include "config/jsonreader.h"
#include "control/cell.h"
#include "transport/httpserver.h"
#include "wire/codec.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

/** Translation between the JSON of callers, upstreams and operators and the typed messages inside. */
namespace rosemaryturn::transport
{
/** Most tasks of a gang. */
constexpr std::uint32_t maxGangSize = 1000;

/** @param text any text. @return whether it may be a key, with or without @DATA-CENTRE. */
bool isValidKey(std::string_view text);

/** Reads the body of a submission. @param body the JSON text. @param environment what it means when it names none. @param errors receives what is wrong.
 * @return the request. */
wire::RequestT readSubmission(std::string_view body, const std::string &environment, std::vector<config::FieldError> &errors);

/** Reads the body of an announcement. @param body the JSON text. @param worker the worker of the path. @param errors receives what is wrong. @return the
 * request. */
wire::RequestT readAnnouncement(std::string_view body, const std::string &worker, std::vector<config::FieldError> &errors);

/** Reads the body of results. @param body the JSON text. @param worker the worker of the path. @param errors receives what is wrong. @return the request. */
wire::RequestT readResults(std::string_view body, const std::string &worker, std::vector<config::FieldError> &errors);

/** Reads the body of a configuration change. @param body the JSON text. @param environment of the path. @param errors receives what is wrong. @return the
 * request. */
wire::RequestT readConfigChange(std::string_view body, const std::string &environment, std::vector<config::FieldError> &errors);

/** Reads the body of a verdict. @param body the JSON text. @param errors receives what is wrong. @return the request. */
wire::RequestT readVerdict(std::string_view body, std::vector<config::FieldError> &errors);

/** @param reason why a request is refused. @param detail what in it. @param retryAfterMs when to try again; 0 for no advice. @return the answer. */
HttpResponse refusal(model::Reason reason, const std::string &detail, std::uint32_t retryAfterMs = 0);

/** Refuses and counts a request that does not reach the control thread. @param reason why. @param detail what in it. @return the answer. */
HttpResponse refuseAtEdge(model::Reason reason, const std::string &detail);

/** Refuses and counts a body. @param errors what is wrong with a body. @return the answer. */
HttpResponse refusal(const std::vector<config::FieldError> &errors);

/** @param reply the outcome of a task request. @return the answer, 200 when all tasks ended, 202 before. */
HttpResponse taskResponse(const wire::ReplyT &reply);

/** @param reply the outcome of an announcement. @return the answer. */
HttpResponse announcementResponse(const wire::ReplyT &reply);

/** @param reply the outcome of results. @return the answer. */
HttpResponse resultsResponse(const wire::ReplyT &reply);

/** @param order a start order. @return its JSON, as the worker gets it. */
nlohmann::json startJson(const control::StartOrder &order);

/** @param bytes bytes. @return them in Base64. */
std::string toBase64(const wire::Bytes &bytes);

/** @param text Base64. @param bytes receives the bytes. @return false when the text is not Base64. */
bool fromBase64(const std::string &text, wire::Bytes &bytes);

/** Puts bytes into JSON as NAME when they are UTF-8, else as NAMEBase64. @param json the object. @param name the field. @param bytes the bytes. */
void putBytes(nlohmann::json &json, const std::string &name, const wire::Bytes &bytes);
}
