#include "fleet/fleetcodec.h"

#include "account/usagecodec.h"
#include "global/json.h"
#include "membership/gossipcodec.h"

#include <json/json.h>

namespace tarragon::fleet {

namespace {

constexpr const char *DocumentField = "documents";
/// Not read by instances of earlier builds.
constexpr const char *LaterField = "later_documents";

auto writeStatus(const instance_status &Status) -> Json::Value {
  Json::Value Value;
  for (const auto &[Name, Mark] : Status.Documents) {
    const bool IsLater = Status.LaterDocuments.contains(Name);
    Json::Value &Row = Value[IsLater ? LaterField : DocumentField][Name];
    Row.append(Json::UInt64{Mark.AsOf});
    Row.append(Json::UInt64{Mark.Changed});
  }
  Value["silence_ms"] = Json::Int64{Status.SourceAnswerAge.count()};
  if (Status.NeedsHelp)
    Value["help"] = true;
  Value["load"] = Status.Load;
  Value["ready"] = Status.Ready;
  Value["members"] = Status.Members;
  if (Status.ReadsBrief)
    Value["reads_brief"] = true;
  return Value;
}

auto readStatus(const Json::Value &Value) -> instance_status {
  instance_status Status;
  for (const char *const Field : {DocumentField, LaterField}) {
    const Json::Value &Documents = Value[Field];
    if (!Documents.isObject())
      continue;
    for (const std::string &Name : Documents.getMemberNames())
      Status.Documents[Name] = {Documents[Name][0].asUInt64(),
                                Documents[Name][1].asUInt64()};
  }
  Status.SourceAnswerAge = milliseconds(Value["silence_ms"].asInt64());
  Status.NeedsHelp = Value["help"].asBool();
  Status.Load = Value["load"].asDouble();
  Status.Ready = Value["ready"].asBool();
  Status.Members = Value["members"].asUInt();
  Status.ReadsBrief = Value["reads_brief"].asBool();
  return Status;
}

auto writeCrash(const admission::crash_report &Report) -> Json::Value {
  Json::Value Value;
  Value["fingerprint"] = Json::UInt64{Report.Fingerprint};
  Value["target"] = Report.Target;
  Value["apart"] = Report.Isolated;
  Value["age_ms"] = Json::Int64{Report.Age.count()};
  Value["started_ms"] = Json::Int64{Report.StartedAtMs};
  return Value;
}

auto readCrash(const Json::Value &Value) -> admission::crash_report {
  return {Value["fingerprint"].asUInt64(), Value["target"].asString(),
          Value["apart"].asBool(), milliseconds(Value["age_ms"].asInt64()),
          Value["started_ms"].asInt64()};
}

auto readBrief(const Json::Value &Value) -> std::optional<fleet_datagram> {
  fleet_datagram Datagram;
  Datagram.IsBrief = true;
  Datagram.Gossip.From.Id = Value["from"][0].asString();
  Datagram.Gossip.From.PeerAddress = Value["from"][1].asString();
  Datagram.Usage = account::readUsage(Value["usage"]);
  if (!Datagram.Usage || Datagram.Gossip.From.PeerAddress.empty())
    return std::nullopt;
  return Datagram;
}

} // namespace

auto writeDatagram(const fleet_datagram &Datagram) -> std::string {
  Json::Value Value;
  if (Datagram.IsBrief && Datagram.Usage) {
    Value["from"].append(Datagram.Gossip.From.Id);
    Value["from"].append(Datagram.Gossip.From.PeerAddress);
    Value["usage"] = account::writeUsage(*Datagram.Usage);
    return writeJson(Value);
  }
  Value["gossip"] = membership::writeGossip(Datagram.Gossip);
  Value["digest"] = writeStatus(Datagram.Status);
  for (const admission::crash_report &Report : Datagram.Crashes)
    Value["crashes"].append(writeCrash(Report));
  for (const leaving_target &Report : Datagram.Leaving) {
    Json::Value Row;
    Row.append(Report.Target);
    Row.append(Json::Int64{Report.StartedAtMs});
    Value["leaving"].append(std::move(Row));
  }
  if (Datagram.Usage)
    Value["usage"] = account::writeUsage(*Datagram.Usage);
  return writeJson(Value);
}

auto readDatagram(const std::string_view Text)
    -> std::optional<fleet_datagram> {
  const auto Parsed = parseJson(Text);
  if (!Parsed)
    return std::nullopt;
  const Json::Value &Value = Parsed.value();
  try {
    if (Value["from"].isArray() && !Value.isMember("gossip"))
      return readBrief(Value);
    fleet_datagram Datagram{membership::readGossip(Value["gossip"]),
                            readStatus(Value["digest"]),
                            {},
                            {},
                            account::readUsage(Value["usage"])};
    for (const Json::Value &Report : Value["crashes"])
      Datagram.Crashes.push_back(readCrash(Report));
    for (const Json::Value &Row : Value["leaving"])
      Datagram.Leaving.push_back({Row[0].asString(), Row[1].asInt64()});
    return Datagram;
  } catch (const Json::Exception &) {
    return std::nullopt;
  }
}

} // namespace tarragon::fleet
