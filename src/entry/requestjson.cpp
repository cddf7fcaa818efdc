#include "entry/requestjson.h"

#include "entry/answerjson.h"
#include "global/json.h"

#include <json/json.h>

#include <set>

namespace tarragon::entry {

namespace {

constexpr std::size_t MaxJsonDepth = 16;

auto knownMembers() -> const std::set<std::string> & {
  static const std::set<std::string> Names{
      "request_id", "contract", "body", "key", "ticket", "continuation"};
  return Names;
}

auto checkMembers(const Json::Value &Value) -> result<void> {
  for (const std::string &Name : Value.getMemberNames()) {
    if (!knownMembers().contains(Name))
      return fail(result_code::MalformedRequest,
                  "unknown member '" + Name + "'");
    if (!Value[Name].isString())
      return fail(result_code::MalformedRequest,
                  "'" + Name + "' must be a string");
  }
  if (!Value.isMember("contract"))
    return fail(result_code::MalformedRequest, "'contract' is missing");
  return succeed();
}

auto optionalText(const Json::Value &Value, const char *const Name)
    -> std::optional<std::string> {
  if (!Value.isMember(Name))
    return std::nullopt;
  return Value[Name].asString();
}

auto readReason(const std::string &Name) -> attempt_outcome {
  for (int Number = 0; Number <= static_cast<int>(attempt_outcome::NotRun);
       ++Number) {
    const auto Outcome = static_cast<attempt_outcome>(Number);
    if (Name == outcomeName(Outcome))
      return Outcome;
  }
  return attempt_outcome::Corrupt;
}

auto readCoverage(const Json::Value &Value) -> coverage {
  coverage Coverage;
  Coverage.Asked = Value["asked"].asUInt64();
  Coverage.Answered = Value["answered"].asUInt64();
  for (const Json::Value &Entry : Value["missing"])
    Coverage.Missing.push_back({Entry["service"].asString(),
                                Entry["shard"].asUInt64(),
                                readReason(Entry["reason"].asString())});
  return Coverage;
}

} // namespace

auto readRequest(const std::string_view Body) -> result<query_request> {
  const auto Value = parseJson(Body, MaxJsonDepth);
  if (!Value)
    return Value.error();
  if (const auto Checked = checkMembers(Value.value()); !Checked)
    return Checked.error();
  query_request Request;
  Request.RequestId = Value.value()["request_id"].asString();
  Request.Contract = Value.value()["contract"].asString();
  Request.Body = Value.value()["body"].asString();
  Request.Key = Value.value()["key"].asString();
  Request.Ticket = optionalText(Value.value(), "ticket");
  Request.Continuation = optionalText(Value.value(), "continuation");
  return Request;
}

auto requestJson(const query_request &Request) -> Json::Value {
  Json::Value Value;
  Value["request_id"] = Request.RequestId;
  Value["contract"] = Request.Contract;
  Value["body"] = Request.Body;
  Value["key"] = Request.Key;
  if (Request.Ticket)
    Value["ticket"] = *Request.Ticket;
  if (Request.Continuation)
    Value["continuation"] = *Request.Continuation;
  return Value;
}

auto readAnswerJson(const Json::Value &Value) -> result<query_answer> {
  try {
    const auto Code = resultFromNumber(Value["code"].asInt());
    if (!Code)
      return fail(result_code::MalformedRequest, "unknown result code");
    query_answer Answer;
    Answer.Code = *Code;
    Answer.RequestId = Value["request_id"].asString();
    Answer.Detail = Value["detail"].asString();
    Answer.Version = Value["version"].asUInt64();
    Answer.Coverage = readCoverage(Value["coverage"]);
    for (const Json::Value &Entry : Value["items"])
      Answer.Items.push_back({Entry["key"].asString(),
                              Entry["score"].asDouble(),
                              Entry["body"].asString()});
    Answer.Continuation = Value["continuation"].asString();
    Answer.Attempts = Value["attempts"].asUInt();
    Answer.RetryAfter = milliseconds(Value["retry_after_ms"].asInt64());
    return Answer;
  } catch (const Json::Exception &Error) {
    return fail(result_code::MalformedRequest, Error.what());
  }
}

} // namespace tarragon::entry
