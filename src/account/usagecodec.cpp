#include "account/usagecodec.h"

#include <json/json.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string>
#include <string_view>
#include <system_error>

namespace tarragon::account {

namespace {

constexpr int HexBase = 16;
constexpr std::size_t MaxHexDigits = 16;
/// Numbers up to it are exact for every reader.
constexpr std::uint64_t MaxCount = 1ULL << 53;
/// Levels are written in hundredths of a token.
constexpr double LevelScale = 100;
constexpr double MaxLevel = 1e12;
constexpr Json::ArrayIndex RowFields = 3;
constexpr Json::Int64 MaxRestoreMs = 600000;
constexpr Json::Int64 MaxAdoptedMs = 600000;
/// Longer than any window.
constexpr Json::Int64 MaxQuietMs = 3600000;

auto writeHash(const std::uint64_t Hash) -> std::string {
  std::string Text(MaxHexDigits, '0');
  const auto End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Hash, HexBase);
  Text.resize(static_cast<std::size_t>(End.ptr - Text.data()));
  return Text;
}

auto readHash(const std::string &Text) -> std::optional<std::uint64_t> {
  std::uint64_t Hash = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Hash, HexBase);
  if (Text.empty() || Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Hash;
}

auto readRow(const Json::Value &Row) -> std::optional<usage_row> {
  if (!Row.isArray() || Row.size() < RowFields || !Row[0].isString() ||
      !Row[1].isUInt64() || !Row[2].isNumeric())
    return std::nullopt;
  const auto Hash = readHash(Row[0].asString());
  const double Level = Row[2].asDouble() / LevelScale;
  if (!Hash || Row[1].asUInt64() > MaxCount || !(std::abs(Level) <= MaxLevel))
    return std::nullopt;
  return usage_row{*Hash, Row[1].asUInt64(), Level};
}

auto readAddresses(const Json::Value &Value) -> std::vector<address> {
  std::vector<address> Addresses;
  if (Value.isArray())
    for (const Json::Value &Each : Value)
      if (Each.isString() && !Each.asString().empty())
        Addresses.push_back(Each.asString());
  return Addresses;
}

auto isFlag(const Json::Value &Value) -> bool {
  return Value.isBool() && Value.asBool();
}

} // namespace

auto writeUsage(const usage_report &Report) -> Json::Value {
  Json::Value Value;
  Value["sequence"] = Json::UInt64{Report.Sequence};
  if (Report.IsServing)
    Value["serving"] = true;
  if (Report.NeedsLevels)
    Value["needs_levels"] = true;
  if (Report.IsComplete)
    Value["complete"] = true;
  if (Report.Fraction != 1)
    Value["fraction"] = Report.Fraction;
  if (Report.AdoptedFor.count() > 0) {
    Value["adopted"].append(Report.AdoptedFraction);
    Value["adopted"].append(Json::Int64{Report.AdoptedFor.count()});
  }
  if (Report.RestoreIn.count() > 0)
    Value["restore_ms"] = Json::Int64{Report.RestoreIn.count()};
  if (Report.QuietFor.count() > 0)
    Value["quiet_ms"] = Json::Int64{Report.QuietFor.count()};
  for (const usage_row &Row : Report.Rows) {
    Json::Value Fields(Json::arrayValue);
    Fields.append(writeHash(Row.Account));
    Fields.append(Json::UInt64{Row.Count});
    Fields.append(Json::Int64{std::llround(Row.Level * LevelScale)});
    Value["rows"].append(std::move(Fields));
  }
  for (const missing_peer &Missing : Report.Missing) {
    Json::Value Fields(Json::arrayValue);
    Fields.append(Missing.Peer);
    if (!Missing.Relayer.empty())
      Fields.append(Missing.Relayer);
    Value["missing"].append(std::move(Fields));
  }
  for (const address &Each : Report.Expected)
    Value["expected"].append(Each);
  if (!Report.Origin.empty()) {
    Value["origin"].append(Report.Origin);
    Value["origin"].append(writeHash(Report.OriginIncarnation));
  }
  return Value;
}

auto readUsage(const Json::Value &Value) -> std::optional<usage_report> {
  if (!Value.isObject() || !Value["sequence"].isUInt64())
    return std::nullopt;
  usage_report Report;
  Report.Sequence = Value["sequence"].asUInt64();
  Report.IsServing = isFlag(Value["serving"]);
  Report.NeedsLevels = isFlag(Value["needs_levels"]);
  Report.IsComplete = isFlag(Value["complete"]);
  const Json::Value &Fraction = Value["fraction"];
  if (Fraction.isNumeric() && Fraction.asDouble() >= 0 &&
      Fraction.asDouble() <= 1)
    Report.Fraction = Fraction.asDouble();
  const Json::Value &Adopted = Value["adopted"];
  if (Adopted.isArray() && Adopted.size() == 2 && Adopted[0].isNumeric() &&
      Adopted[0].asDouble() >= 0 && Adopted[0].asDouble() <= 1 &&
      Adopted[1].isInt64() && Adopted[1].asInt64() > 0 &&
      Adopted[1].asInt64() <= MaxAdoptedMs) {
    Report.AdoptedFraction = Adopted[0].asDouble();
    Report.AdoptedFor = milliseconds(Adopted[1].asInt64());
  }
  const Json::Value &Restore = Value["restore_ms"];
  if (Restore.isInt64() && Restore.asInt64() > 0 &&
      Restore.asInt64() <= MaxRestoreMs)
    Report.RestoreIn = milliseconds(Restore.asInt64());
  const Json::Value &Quiet = Value["quiet_ms"];
  if (Quiet.isInt64() && Quiet.asInt64() > 0)
    Report.QuietFor = milliseconds(std::min(Quiet.asInt64(), MaxQuietMs));
  if (Value["rows"].isArray())
    for (const Json::Value &Fields : Value["rows"])
      if (const auto Row = readRow(Fields))
        Report.Rows.push_back(*Row);
  if (Value["missing"].isArray())
    for (const Json::Value &Fields : Value["missing"])
      if (const auto Peers = readAddresses(Fields); !Peers.empty())
        Report.Missing.push_back(
            {Peers[0], Peers.size() > 1 ? Peers[1] : address()});
  Report.Expected = readAddresses(Value["expected"]);
  const Json::Value &Origin = Value["origin"];
  if (Origin.isNull())
    return Report;
  const auto Fields = readAddresses(Origin);
  const auto Incarnation =
      Fields.size() == 2 ? readHash(Fields[1]) : std::nullopt;
  // Without its origin, it would be taken for a report of the relayer.
  if (!Incarnation)
    return std::nullopt;
  Report.Origin = Fields[0];
  Report.OriginIncarnation = *Incarnation;
  return Report;
}

} // namespace tarragon::account
