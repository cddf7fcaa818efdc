#include "peer/peercodec.h"

#include "account/usagecodec.h"
#include "membership/gossipcodec.h"
#include "peer/internal/worldcodec.h"

#include <json/json.h>

namespace tarragon::peer {

namespace {

using membership::readGossip;
using membership::readInstance;
using membership::writeGossip;
using membership::writeInstance;

auto write(const dispatch_message &Message, const time_point Now)
    -> Json::Value {
  Json::Value Value = writeSubrequest(Message.Request, Now);
  Value["type"] = "dispatch";
  return Value;
}

auto write(const cancel_message &Message, time_point) -> Json::Value {
  Json::Value Value;
  Value["type"] = "cancel";
  Value["id"] = writeId(Message.Id);
  Value["group"] = Message.Group;
  return Value;
}

auto write(const settle_message &Message, time_point) -> Json::Value {
  Json::Value Value = writeSettlement(Message.Settlement);
  Value["type"] = "settle";
  return Value;
}

auto write(const membership::gossip_message &Message, time_point)
    -> Json::Value {
  Json::Value Value = writeGossip(Message);
  Value["type"] = "gossip";
  return Value;
}

auto write(const crash_message &Message, time_point) -> Json::Value {
  Json::Value Value;
  Value["type"] = "crash";
  Value["fingerprint"] = Json::UInt64{Message.Report.Fingerprint};
  Value["target"] = Message.Report.Target;
  Value["apart"] = Message.Report.Isolated;
  Value["age_ms"] = Json::Int64{Message.Report.Age.count()};
  return Value;
}

auto write(const config_request &Message, time_point) -> Json::Value {
  Json::Value Value;
  Value["type"] = "config_request";
  Value["have"] = Json::UInt64{Message.Have};
  return Value;
}

auto write(const config_offer &Message, time_point) -> Json::Value {
  Json::Value Value;
  Value["type"] = "config_offer";
  Value["version"] = Json::UInt64{Message.Version};
  Value["text"] = Message.Text;
  Value["content_hash"] = Message.ContentHash;
  Value["change_id"] = Message.ChangeId;
  Value["operator"] = Message.Operator;
  return Value;
}

auto write(const ledger_message &Message, time_point) -> Json::Value {
  Json::Value Value;
  Value["type"] = "ledger";
  Value["instance"] = Message.Ledger.Instance;
  Value["incarnation"] = Json::UInt64{Message.Ledger.Incarnation};
  Value["answers"] = Json::Value(Json::arrayValue);
  Value["first_kept"] = Json::UInt64{Message.Ledger.FirstKept};
  for (const once::recorded_answer &Recorded : Message.Ledger.Answers) {
    Json::Value Entry = writeAnswer(Recorded.Answer);
    Entry["ticket"] = once::formatTicket(Recorded.Ticket);
    Entry["fingerprint"] = Json::UInt64{Recorded.Fingerprint};
    Value["answers"].append(std::move(Entry));
  }
  return Value;
}

auto write(const usage_message &Message, time_point) -> Json::Value {
  Json::Value Value = account::writeUsage(Message.Report);
  Value["type"] = "usage";
  return Value;
}

auto readOffer(const Json::Value &Value) -> config_offer {
  return {Value["version"].asUInt64(), Value["text"].asString(),
          Value["content_hash"].asString(), Value["change_id"].asString(),
          Value["operator"].asString()};
}

auto readCrash(const Json::Value &Value) -> crash_message {
  crash_message Message;
  Message.Report.Fingerprint = Value["fingerprint"].asUInt64();
  Message.Report.Target = Value["target"].asString();
  Message.Report.Isolated = Value["apart"].asBool();
  Message.Report.Age = milliseconds(Value["age_ms"].asInt64());
  return Message;
}

auto readLedger(const Json::Value &Value) -> result<peer_message> {
  ledger_message Message;
  Message.Ledger.Instance = Value["instance"].asString();
  Message.Ledger.Incarnation = Value["incarnation"].asUInt64();
  Message.Ledger.FirstKept = Value["first_kept"].asUInt64();
  for (const Json::Value &Entry : Value["answers"]) {
    const auto Ticket = once::parseTicket(Entry["ticket"].asString());
    if (!Ticket)
      return fail(result_code::MalformedTicket, Entry["ticket"].asString());
    Message.Ledger.Answers.push_back(
        {*Ticket, Entry["fingerprint"].asUInt64(), readAnswer(Entry)});
  }
  return peer_message{std::move(Message)};
}

auto readUsage(const Json::Value &Value) -> result<peer_message> {
  auto Report = account::readUsage(Value);
  if (!Report)
    return fail(result_code::MalformedRequest, "malformed report of usage");
  return peer_message{usage_message{std::move(*Report)}};
}

auto readTyped(const Json::Value &Value, const time_point Now)
    -> result<peer_message> {
  const std::string Type = Value["type"].asString();
  if (Type == "dispatch")
    return peer_message{dispatch_message{readSubrequest(Value, Now)}};
  if (Type == "cancel")
    return peer_message{
        cancel_message{readId(Value["id"]), Value["group"].asString()}};
  if (Type == "settle")
    return peer_message{settle_message{readSettlement(Value)}};
  if (Type == "gossip")
    return peer_message{readGossip(Value)};
  if (Type == "crash")
    return peer_message{readCrash(Value)};
  if (Type == "config_request")
    return peer_message{config_request{Value["have"].asUInt64()}};
  if (Type == "config_offer")
    return peer_message{readOffer(Value)};
  if (Type == "ledger")
    return readLedger(Value);
  if (Type == "usage")
    return readUsage(Value);
  return fail(result_code::MalformedRequest,
              "unknown message type '" + Type + "'");
}

} // namespace

auto encodeMessage(const peer_message &Message, const time_point Now)
    -> Json::Value {
  return std::visit(
      [Now](const auto &Alternative) { return write(Alternative, Now); },
      Message);
}

auto decodeMessage(const Json::Value &Value, const time_point Now)
    -> result<peer_message> {
  try {
    return readTyped(Value, Now);
  } catch (const Json::Exception &Error) {
    return fail(result_code::MalformedRequest, Error.what());
  }
}

auto encodeInstance(const instance &Instance) -> Json::Value {
  return writeInstance(Instance);
}

auto decodeInstance(const Json::Value &Value) -> instance {
  return readInstance(Value);
}

} // namespace tarragon::peer
