#include "ctl/internal/replytext.h"

#include "global/json.h"

#include <json/json.h>

#include <sstream>

namespace tarragon::ctl {

namespace {

constexpr int StatusOk = 200;

auto codeOf(const int Status, const Json::Value &Body) -> result_code {
  if (Body["code"].isInt())
    if (const auto Code = resultFromNumber(Body["code"].asInt()))
      return *Code;
  return Status == StatusOk ? result_code::Ok : result_code::Internal;
}

} // namespace

auto readReply(const int Status, const std::string &Body) -> entry_reply {
  auto Parsed = parseJson(Body);
  if (!Parsed)
    return {reply_state::NoReply,
            {},
            {},
            {},
            "the reply is not a JSON object, status " + std::to_string(Status)};
  const result_code Code = codeOf(Status, Parsed.value());
  return {reply_state::Replied, {}, std::move(Parsed.value()), Code, {}};
}

auto textOf(const Json::Value &Body, const char *const Name) -> std::string {
  if (!Body.isObject())
    return {};
  const Json::Value &Found = Body[Name];
  if (Found.isDouble() && !Found.isIntegral()) {
    std::ostringstream Formatted;
    Formatted << Found.asDouble();
    return Formatted.str();
  }
  return Found.isConvertibleTo(Json::stringValue) ? Found.asString() : "";
}

auto numberOf(const Json::Value &Body, const char *const Name)
    -> std::uint64_t {
  if (!Body.isObject() || !Body[Name].isUInt64())
    return 0;
  return Body[Name].asUInt64();
}

auto listOf(const Json::Value &Body, const char *const Name)
    -> const Json::Value & {
  static const Json::Value Empty(Json::arrayValue);
  const bool Found = Body.isObject() && Body[Name].isArray();
  return Found ? Body[Name] : Empty;
}

} // namespace tarragon::ctl
