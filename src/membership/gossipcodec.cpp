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

auto writeUpdate(const membership::member_update &Update) -> Json::Value {
  Json::Value Value = writeInstance(Update.Instance);
  Value["refutation"] = Json::UInt64{Update.Refutation};
  Value["leaving"] = Update.Leaving;
  return Value;
}

auto readUpdate(const Json::Value &Value) -> membership::member_update {
  membership::member_update Update;
  Update.Instance = readInstance(Value);
  Update.Refutation = Value["refutation"].asUInt64();
  Update.Leaving = Value["leaving"].asBool();
  return Update;
}

} // namespace

auto writeInstance(const instance &Instance) -> Json::Value {
  Json::Value Value;
  Value["id"] = Instance.Id;
  Value["caller_address"] = Instance.CallerAddress;
  Value["peer_address"] = Instance.PeerAddress;
  Value["failure_domain"] = Instance.Domain;
  Value["incarnation"] = Json::UInt64{Instance.Incarnation};
  if (Instance.Capacity > 0)
    Value["capacity"] = Instance.Capacity;
  Value["state"] = static_cast<int>(Instance.State);
  return Value;
}

auto readInstance(const Json::Value &Value) -> instance {
  instance Instance;
  Instance.Id = Value["id"].asString();
  Instance.CallerAddress = Value["caller_address"].asString();
  Instance.PeerAddress = Value["peer_address"].asString();
  Instance.Domain = Value["failure_domain"].asString();
  Instance.Incarnation = Value["incarnation"].asUInt64();
  Instance.Capacity = Value["capacity"].asDouble();
  Instance.State = readState(Value["state"]);
  return Instance;
}

auto writeGossip(const membership::gossip_message &Message) -> Json::Value {
  Json::Value Value;
  Value["kind"] = static_cast<int>(Message.Kind);
  Value["sequence"] = Json::UInt64{Message.Sequence};
  Value["from"] = writeInstance(Message.From);
  Value["about"] = Message.About;
  Value["config"] = Json::UInt64{Message.Config};
  Value["digest"] = Json::UInt64{Message.Digest};
  Value["updates"] = Json::Value(Json::arrayValue);
  Value["refutation"] = Json::UInt64{Message.Refutation};
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
