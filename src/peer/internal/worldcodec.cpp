#include "peer/internal/worldcodec.h"

#include <json/json.h>

namespace tarragon::peer {

namespace {

auto writeStrings(const std::vector<std::string> &Strings) -> Json::Value {
  Json::Value List(Json::arrayValue);
  for (const std::string &Text : Strings)
    List.append(Text);
  return List;
}

auto readStrings(const Json::Value &Value) -> std::vector<std::string> {
  std::vector<std::string> Strings;
  for (const Json::Value &Text : Value)
    Strings.push_back(Text.asString());
  return Strings;
}

} // namespace

auto writeId(const subrequest_id &Id) -> Json::Value {
  Json::Value Value(Json::arrayValue);
  Value.append(Json::UInt64{Id.Query});
  Value.append(Id.Part);
  Value.append(Id.Try);
  return Value;
}

auto readId(const Json::Value &Value) -> subrequest_id {
  subrequest_id Id;
  Id.Query = Value[0].asUInt64();
  Id.Part = Value[1].asUInt();
  Id.Try = Value[2].asUInt();
  return Id;
}

auto writeSubrequest(const subrequest &Request, const time_point Now)
    -> Json::Value {
  Json::Value Value;
  Value["id"] = writeId(Request.Id);
  Value["root"] = Request.Coordinator;
  Value["contract"] = Request.Contract;
  Value["service"] = Request.Service;
  Value["group"] = Request.Group;
  Value["version"] = Json::UInt64{Request.Version};
  Value["shard"] = Json::UInt64{Request.Shard};
  Value["shards"] = Json::UInt64{Request.ShardCount};
  Value["limit"] = Json::UInt64{Request.Limit};
  Value["body"] = Request.Body;
  Value["fingerprint"] = Json::UInt64{Request.Fingerprint};
  const auto Left =
      std::chrono::duration_cast<microseconds>(Request.Deadline - Now);
  Value["left_us"] = Json::Int64{Left.count()};
  Value["repeatable"] = Request.Repeatable;
  Value["suspect"] = Request.Suspect;
  Value["hedge"] = Request.HedgeBudget;
  if (!Request.Account.empty())
    Value["account"] = Request.Account;
  if (Request.Priority != 0)
    Value["priority"] = Request.Priority;
  return Value;
}

auto readSubrequest(const Json::Value &Value, const time_point Now)
    -> subrequest {
  subrequest Request;
  Request.Id = readId(Value["id"]);
  Request.Coordinator = Value["root"].asString();
  Request.Contract = Value["contract"].asString();
  Request.Service = Value["service"].asString();
  Request.Group = Value["group"].asString();
  Request.Version = Value["version"].asUInt64();
  Request.Shard = Value["shard"].asUInt64();
  Request.ShardCount = Value["shards"].asUInt64();
  Request.Limit = Value["limit"].asUInt64();
  Request.Body = Value["body"].asString();
  Request.Fingerprint = Value["fingerprint"].asUInt64();
  Request.Deadline = Now + microseconds(Value["left_us"].asInt64());
  Request.Repeatable = Value["repeatable"].asBool();
  Request.Suspect = Value["suspect"].asBool();
  Request.HedgeBudget = Value["hedge"].asDouble();
  Request.Account = Value["account"].asString();
  Request.Priority = Value["priority"].asInt();
  return Request;
}

// Items account for most of the bytes. A flat list of key, score and body costs
// a third of a tree with one object per item.
auto writeItems(const std::vector<item> &Items) -> Json::Value {
  Json::Value List(Json::arrayValue);
  for (const item &Item : Items) {
    List.append(Item.Key);
    List.append(Item.Score);
    List.append(Item.Body);
  }
  return List;
}

auto readItems(const Json::Value &Value) -> std::vector<item> {
  constexpr Json::ArrayIndex FieldsPerItem = 3;
  if (Value.size() % FieldsPerItem != 0)
    throw Json::LogicError("item list length is not a multiple of 3");
  std::vector<item> Items;
  Items.reserve(Value.size() / FieldsPerItem);
  for (Json::ArrayIndex At = 0; At < Value.size(); At += FieldsPerItem)
    Items.push_back({Value[At].asString(), Value[At + 1].asDouble(),
                     Value[At + 2].asString()});
  return Items;
}

auto writeHeld(const std::vector<held_version> &Held) -> Json::Value {
  Json::Value List(Json::arrayValue);
  for (const held_version &HeldVersion : Held) {
    Json::Value Entry;
    Entry["version"] = Json::UInt64{HeldVersion.Version};
    Entry["shards"] = Json::UInt64{HeldVersion.ShardCount};
    List.append(std::move(Entry));
  }
  return List;
}

auto readHeld(const Json::Value &Value) -> std::vector<held_version> {
  std::vector<held_version> Held;
  for (const Json::Value &Entry : Value)
    Held.push_back({Entry["version"].asUInt64(), Entry["shards"].asUInt64()});
  return Held;
}

auto writeSettlement(const settlement &Settlement) -> Json::Value {
  Json::Value Value;
  Value["id"] = writeId(Settlement.Id);
  Value["outcome"] = static_cast<int>(Settlement.Outcome);
  Value["not_run"] = Settlement.ProvenNotRun;
  Value["version"] = Json::UInt64{Settlement.Version};
  Value["shard"] = Json::UInt64{Settlement.Shard};
  Value["shards"] = Json::UInt64{Settlement.ShardCount};
  Value["items"] = writeItems(Settlement.Items);
  Value["target"] = Settlement.Target;
  Value["held"] = writeHeld(Settlement.Held);
  Value["crashed"] = writeStrings(Settlement.CrashedTargets);
  Value["attempts"] = Settlement.Attempts;
  return Value;
}

auto readOutcome(const Json::Value &Value) -> attempt_outcome {
  const int Outcome = Value.asInt();
  const bool Known =
      Outcome >= 0 && Outcome <= static_cast<int>(attempt_outcome::NotRun);
  return Known ? static_cast<attempt_outcome>(Outcome)
               : attempt_outcome::Corrupt;
}

auto readSettlement(const Json::Value &Value) -> settlement {
  settlement Settlement;
  Settlement.Id = readId(Value["id"]);
  Settlement.Outcome = readOutcome(Value["outcome"]);
  Settlement.ProvenNotRun = Value["not_run"].asBool();
  Settlement.Version = Value["version"].asUInt64();
  Settlement.Shard = Value["shard"].asUInt64();
  Settlement.ShardCount = Value["shards"].asUInt64();
  Settlement.Items = readItems(Value["items"]);
  Settlement.Target = Value["target"].asString();
  Settlement.Held = readHeld(Value["held"]);
  Settlement.CrashedTargets = readStrings(Value["crashed"]);
  Settlement.Attempts = Value["attempts"].asUInt();
  return Settlement;
}

auto writeAnswer(const query_answer &Answer) -> Json::Value {
  Json::Value Value;
  Value["request_id"] = Answer.RequestId;
  Value["code"] = static_cast<int>(Answer.Code);
  Value["detail"] = Answer.Detail;
  Value["version"] = Json::UInt64{Answer.Version};
  Value["items"] = writeItems(Answer.Items);
  Value["continuation"] = Answer.Continuation;
  Value["attempts"] = Answer.Attempts;
  Value["asked"] = Json::UInt64{Answer.Coverage.Asked};
  Value["answered"] = Json::UInt64{Answer.Coverage.Answered};
  Value["missing"] = Json::Value(Json::arrayValue);
  for (const missing_shard &Missing : Answer.Coverage.Missing) {
    Json::Value Entry;
    Entry["service"] = Missing.Service;
    Entry["shard"] = Json::UInt64{Missing.Shard};
    Entry["reason"] = static_cast<int>(Missing.Reason);
    Value["missing"].append(std::move(Entry));
  }
  return Value;
}

auto readAnswer(const Json::Value &Value) -> query_answer {
  query_answer Answer;
  Answer.RequestId = Value["request_id"].asString();
  Answer.Code = resultFromNumber(Value["code"].asInt())
                    .value_or(result_code::OutcomeUnknown);
  Answer.Detail = Value["detail"].asString();
  Answer.Version = Value["version"].asUInt64();
  Answer.Items = readItems(Value["items"]);
  Answer.Continuation = Value["continuation"].asString();
  Answer.Attempts = Value["attempts"].asUInt();
  Answer.Coverage.Asked = Value["asked"].asUInt64();
  Answer.Coverage.Answered = Value["answered"].asUInt64();
  for (const Json::Value &Entry : Value["missing"])
    Answer.Coverage.Missing.push_back({Entry["service"].asString(),
                                       Entry["shard"].asUInt64(),
                                       readOutcome(Entry["reason"])});
  return Answer;
}

} // namespace tarragon::peer
