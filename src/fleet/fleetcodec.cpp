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

} // namespace

auto writeDatagram(const fleet_datagram &Datagram) -> std::string {
  Json::Value Value;
  Value["gossip"] = membership::writeGossip(Datagram.Gossip);
  Value["digest"] = writeDigest(Datagram.Digest);
  return writeJson(Value);
}

auto readDatagram(const std::string_view Text)
    -> std::optional<fleet_datagram> {
  const auto Parsed = parseJson(Text);
  if (!Parsed)
    return std::nullopt;
  const Json::Value &Value = Parsed.value();
  try {
    return fleet_datagram{membership::readGossip(Value["gossip"]),
                          readDigest(Value["digest"])};
  } catch (const Json::Exception &) {
    return std::nullopt;
  }
}

} // namespace tarragon::fleet
