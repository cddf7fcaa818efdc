#include "config/internal/headcodec.h"

#include "global/json.h"

#include <json/json.h>

namespace tarragon::config {

namespace {

auto toJson(const accepted_change &Change) -> Json::Value {
  Json::Value Root(Json::objectValue);
  Root["version"] = Json::UInt64{Change.Version};
  Root["change_id"] = Change.ChangeId;
  Root["operator"] = Change.Operator;
  Root["content_hash"] = Change.ContentHash;
  return Root;
}

auto toChange(const Json::Value &Root) -> std::optional<accepted_change> {
  if (!Root.isObject() || !Root["version"].isUInt64() ||
      !Root["change_id"].isString() || !Root["operator"].isString() ||
      !Root["content_hash"].isString())
    return std::nullopt;
  return accepted_change{
      Root["version"].asUInt64(), Root["change_id"].asString(),
      Root["operator"].asString(), Root["content_hash"].asString()};
}

} // namespace

auto writeHead(const config_head &Head) -> std::string {
  Json::Value Root = toJson(Head.InForce);
  Root["chunks"] = Json::UInt64{Head.Chunks};
  Root["recent"] = Json::Value(Json::arrayValue);
  for (const accepted_change &Change : Head.Recent)
    Root["recent"].append(toJson(Change));
  return writeJson(Root);
}

auto readHead(const std::string &Text) -> std::optional<config_head> {
  const auto Parsed = parseJson(Text);
  if (!Parsed)
    return std::nullopt;
  const Json::Value &Root = Parsed.value();
  const auto InForce = toChange(Root);
  if (!InForce || !Root["chunks"].isUInt64() || !Root["recent"].isArray())
    return std::nullopt;
  config_head Head{*InForce, Root["chunks"].asUInt64(), {}};
  for (const Json::Value &Element : Root["recent"]) {
    const auto Change = toChange(Element);
    if (!Change)
      return std::nullopt;
    Head.Recent.push_back(*Change);
  }
  return Head;
}

} // namespace tarragon::config
