#include "bench/core/answerreader.h"

#include "global/json.h"

#include <json/json.h>

namespace tarragon::bench {

namespace {

auto toItems(const Json::Value &List) -> std::vector<item> {
  std::vector<item> Items;
  for (const Json::Value &Entry : List)
    Items.push_back({Entry["key"].asString(), Entry["score"].asDouble(),
                     Entry["body"].asString()});
  return Items;
}

auto readInto(const Json::Value &Body, call_record &Record) -> bool {
  if (!Body["code"].isInt())
    return false;
  Record.Code = Body["code"].asInt();
  Record.Detail = Body["detail"].asString();
  Record.Version = Body["version"].asUInt64();
  Record.Attempts = Body["attempts"].asUInt();
  Record.Items = toItems(Body["items"]);
  const Json::Value &Coverage = Body["coverage"];
  Record.Asked = Coverage["asked"].asUInt64();
  Record.Answered = Coverage["answered"].asUInt64();
  Record.Complete = Coverage["complete"].asBool();
  Record.Missing.clear();
  Record.Reasons.clear();
  for (const Json::Value &Entry : Coverage["missing"]) {
    missing_shard Missing;
    Missing.Service = Entry["service"].asString();
    Missing.Shard = Entry["shard"].asUInt64();
    Record.Missing.push_back(std::move(Missing));
    Record.Reasons.push_back(Entry["reason"].asString());
  }
  return true;
}

} // namespace

auto readAnswer(const std::string &Body, call_record &Record) -> bool {
  const auto Parsed = parseJson(Body);
  if (!Parsed)
    return false;
  try {
    return readInto(Parsed.value(), Record);
  } catch (const Json::Exception &) {
    return false;
  }
}

auto readAddresses(const std::string &Body, address_list &List) -> bool {
  const auto Parsed = parseJson(Body);
  if (!Parsed || !Parsed.value()["addresses"].isArray())
    return false;
  for (const Json::Value &Entry : Parsed.value()["addresses"])
    List.Addresses.push_back(Entry["address"].asString());
  List.Lifetime = milliseconds(Parsed.value()["lifetime_ms"].asInt64());
  return !List.Addresses.empty();
}

auto readItems(const std::string &Body, std::vector<item> &Items) -> bool {
  const auto Parsed = parseJson(Body);
  if (!Parsed || !Parsed.value()["items"].isArray())
    return false;
  Items = toItems(Parsed.value()["items"]);
  return true;
}

} // namespace tarragon::bench
