#include "entry/answerjson.h"

#include <json/json.h>

namespace tarragon::entry {

namespace {

auto coverageJson(const coverage &Coverage) -> Json::Value {
  Json::Value Value;
  Value["asked"] = Json::UInt64{Coverage.Asked};
  Value["answered"] = Json::UInt64{Coverage.Answered};
  Value["complete"] = Coverage.complete();
  Value["missing"] = Json::Value(Json::arrayValue);
  for (const missing_shard &Missing : Coverage.Missing) {
    Json::Value Entry;
    Entry["service"] = Missing.Service;
    Entry["shard"] = Json::UInt64{Missing.Shard};
    Entry["reason"] = outcomeName(Missing.Reason);
    Value["missing"].append(std::move(Entry));
  }
  return Value;
}

auto itemsJson(const std::vector<item> &Items) -> Json::Value {
  Json::Value List(Json::arrayValue);
  for (const item &Item : Items) {
    Json::Value Entry;
    Entry["key"] = Item.Key;
    Entry["score"] = Item.Score;
    Entry["body"] = Item.Body;
    List.append(std::move(Entry));
  }
  return List;
}

} // namespace

auto resultJson(const result_code Code, const std::string &Detail)
    -> Json::Value {
  Json::Value Value;
  Value["code"] = static_cast<int>(Code);
  Value["result"] = std::string(resultRow(Code).Name);
  Value["detail"] = Detail;
  return Value;
}

auto answerJson(const query_answer &Answer) -> Json::Value {
  Json::Value Value = resultJson(Answer.Code, Answer.Detail);
  Value["request_id"] = Answer.RequestId;
  Value["version"] = Json::UInt64{Answer.Version};
  Value["coverage"] = coverageJson(Answer.Coverage);
  Value["items"] = itemsJson(Answer.Items);
  Value["continuation"] = Answer.Continuation;
  Value["attempts"] = Answer.Attempts;
  if (Answer.RetryAfter.count() > 0)
    Value["retry_after_ms"] = Json::Int64{Answer.RetryAfter.count()};
  return Value;
}

auto outcomeName(const attempt_outcome Outcome) -> const char * {
  switch (Outcome) {
  case attempt_outcome::Answered:
    return "answered";
  case attempt_outcome::WrongVersion:
    return "wrong_version";
  case attempt_outcome::Shed:
    return "shed";
  case attempt_outcome::NotSent:
    return "not_sent";
  case attempt_outcome::Leaving:
    return "leaving";
  case attempt_outcome::Crashed:
    return "crashed";
  case attempt_outcome::Corrupt:
    return "corrupt";
  case attempt_outcome::Refused:
    return "refused";
  case attempt_outcome::Expired:
    return "expired";
  case attempt_outcome::NotRun:
    return "not_run";
  }
  return "unknown";
}

} // namespace tarragon::entry
