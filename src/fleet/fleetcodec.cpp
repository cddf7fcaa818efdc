#include "fleet/fleetcodec.h"

#include "global/json.h"
#include "membership/gossipcodec.h"

#include <json/json.h>

namespace tarragon::fleet {

namespace {

auto writeDigest(const fleet_digest &Digest) -> Json::Value {
  Json::Value Value;
  for (const auto &[Name, Mark] : Digest.Documents) {
    Value["documents"][Name].append(Json::UInt64{Mark.AsOf});
    Value["documents"][Name].append(Json::UInt64{Mark.Changed});
  }
  Value["silence_ms"] = Json::Int64{Digest.SourceSilence.count()};
  Value["load"] = Digest.Load;
  Value["ready"] = Digest.Ready;
  Value["members"] = Digest.Members;
  return Value;
}

auto readDigest(const Json::Value &Value) -> fleet_digest {
  fleet_digest Digest;
  const Json::Value &Documents = Value["documents"];
  if (Documents.isObject())
    for (const std::string &Name : Documents.getMemberNames())
      Digest.Documents[Name] = {Documents[Name][0].asUInt64(),
                                Documents[Name][1].asUInt64()};
  Digest.SourceSilence = milliseconds(Value["silence_ms"].asInt64());
  Digest.Load = Value["load"].asDouble();
  Digest.Ready = Value["ready"].asBool();
  Digest.Members = Value["members"].asUInt();
  return Digest;
}

auto writeCrash(const admission::crash_report &Report) -> Json::Value {
  Json::Value Value;
  Value["fingerprint"] = Json::UInt64{Report.Fingerprint};
  Value["target"] = Report.Target;
  Value["apart"] = Report.Apart;
  Value["age_ms"] = Json::Int64{Report.Age.count()};
  return Value;
}

auto readCrash(const Json::Value &Value) -> admission::crash_report {
  return {Value["fingerprint"].asUInt64(), Value["target"].asString(),
          Value["apart"].asBool(), milliseconds(Value["age_ms"].asInt64())};
}

} // namespace

auto writeDatagram(const fleet_datagram &Datagram) -> std::string {
  Json::Value Value;
  Value["gossip"] = membership::writeGossip(Datagram.Gossip);
  Value["digest"] = writeDigest(Datagram.Digest);
  for (const admission::crash_report &Report : Datagram.Crashes)
    Value["crashes"].append(writeCrash(Report));
  return writeJson(Value);
}

auto readDatagram(const std::string_view Text)
    -> std::optional<fleet_datagram> {
  const auto Parsed = parseJson(Text);
  if (!Parsed)
    return std::nullopt;
  const Json::Value &Value = Parsed.value();
  try {
    fleet_datagram Datagram{membership::readGossip(Value["gossip"]),
                            readDigest(Value["digest"]),
                            {}};
    for (const Json::Value &Report : Value["crashes"])
      Datagram.Crashes.push_back(readCrash(Report));
    return Datagram;
  } catch (const Json::Exception &) {
    return std::nullopt;
  }
}

} // namespace tarragon::fleet
