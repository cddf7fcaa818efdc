#include "membership/gossipcodec.h"

#include <json/json.h>

namespace tarragon::membership {

namespace {

auto readState(const Json::Value &Value) -> instance_state {
  const int State = Value.asInt();
  const bool Known =
      State >= 0 && State <= static_cast<int>(instance_state::Dead);
  return Known ? static_cast<instance_state>(State) : instance_state::Suspect;
}

auto readKind(const Json::Value &Value) -> membership::gossip_kind {
  const int Kind = Value.asInt();
  const bool Known =
      Kind >= 0 &&
      Kind <= static_cast<int>(membership::gossip_kind::PingRequest);
  return Known ? static_cast<membership::gossip_kind>(Kind)
               : membership::gossip_kind::Ping;
}

/// Positions of the fields in the array form of an instance.
enum instance_field : Json::ArrayIndex {
  FieldId,
  FieldCallerAddress,
  FieldPeerAddress,
  FieldDomain,
  FieldIncarnation,
  FieldCapacity,
  FieldState,
  FieldRefutation, ///< of an update only
  FieldLeaving     ///< of an update only
};

auto writeUpdate(const membership::member_update &Update) -> Json::Value {
  Json::Value Value = writeInstance(Update.Instance);
  Value.append(Json::UInt64{Update.Refutation});
  Value.append(Update.Leaving ? 1 : 0);
  return Value;
}

auto readUpdate(const Json::Value &Value) -> membership::member_update {
  membership::member_update Update;
  Update.Instance = readInstance(Value);
  Update.Refutation = Value[FieldRefutation].asUInt64();
  Update.Leaving = Value[FieldLeaving].asInt() != 0;
  return Update;
}

/// Omits a number that is 0, since the reader takes an absent one as 0.
auto writeNonZero(Json::Value &Value, const char *Name,
                  const std::uint64_t Number) -> void {
  if (Number != 0)
    Value[Name] = Json::UInt64{Number};
}

} // namespace

auto writeInstance(const instance &Instance) -> Json::Value {
  Json::Value Value(Json::arrayValue);
  Value.append(Instance.Id);
  Value.append(Instance.CallerAddress);
  Value.append(Instance.PeerAddress);
  Value.append(Instance.Domain);
  Value.append(Json::UInt64{Instance.Incarnation});
  Value.append(Instance.Capacity);
  Value.append(static_cast<int>(Instance.State));
  return Value;
}

auto readInstance(const Json::Value &Value) -> instance {
  instance Instance;
  Instance.Id = Value[FieldId].asString();
  Instance.CallerAddress = Value[FieldCallerAddress].asString();
  Instance.PeerAddress = Value[FieldPeerAddress].asString();
  Instance.Domain = Value[FieldDomain].asString();
  Instance.Incarnation = Value[FieldIncarnation].asUInt64();
  Instance.Capacity = Value[FieldCapacity].asDouble();
  Instance.State = readState(Value[FieldState]);
  return Instance;
}

auto writeGossip(const membership::gossip_message &Message) -> Json::Value {
  Json::Value Value;
  Value["kind"] = static_cast<int>(Message.Kind);
  Value["from"] = writeInstance(Message.From);
  writeNonZero(Value, "sequence", Message.Sequence);
  writeNonZero(Value, "config", Message.Config);
  writeNonZero(Value, "digest", Message.Digest);
  writeNonZero(Value, "refutation", Message.Refutation);
  if (!Message.About.empty())
    Value["about"] = Message.About;
  for (const membership::member_update &Update : Message.Updates)
    Value["updates"].append(writeUpdate(Update));
  for (const membership::member_update &Row : Message.Rows)
    Value["rows"].append(writeUpdate(Row));
  return Value;
}

auto readGossip(const Json::Value &Value) -> membership::gossip_message {
  membership::gossip_message Message;
  Message.Kind = readKind(Value["kind"]);
  Message.Sequence = Value["sequence"].asUInt64();
  Message.From = readInstance(Value["from"]);
  Message.About = Value["about"].asString();
  Message.Config = Value["config"].asUInt64();
  Message.Refutation = Value["refutation"].asUInt64();
  Message.Digest = Value["digest"].asUInt64();
  for (const Json::Value &Row : Value["rows"])
    Message.Rows.push_back(readUpdate(Row));
  for (const Json::Value &Update : Value["updates"])
    Message.Updates.push_back(readUpdate(Update));
  return Message;
}

} // namespace tarragon::membership
