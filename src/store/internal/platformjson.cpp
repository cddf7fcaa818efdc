#include "store/internal/platformjson.h"

#include "global/json.h"

#include <json/json.h>

namespace tarragon::store {

namespace {

/// Returns null if \p Body is not a JSON object.
auto parse(const std::string &Body) -> Json::Value {
  auto Root = parseJson(Body);
  return Root ? std::move(Root.value()) : Json::Value{};
}

/// Returns a member of an object; null if it is absent or \p Root is not an
/// object.
auto member(const Json::Value &Root, const char *const Name)
    -> const Json::Value & {
  return Root.isObject() ? Root[Name] : Json::Value::nullSingleton();
}

/// Returns a string member; empty if it is absent or not a string.
auto text(const Json::Value &Root, const char *const Name) -> std::string {
  const Json::Value &Found = member(Root, Name);
  return Found.isString() ? Found.asString() : std::string{};
}

auto toObject(const Json::Value &Root) -> std::optional<stored_object> {
  const Json::Value &Version = member(Root, "version");
  const std::string Key = text(Root, "key");
  if (!Version.isUInt64() || Key.empty())
    return std::nullopt;
  return stored_object{Key, Version.asUInt64(), text(Root, "value")};
}

auto toObjects(const Json::Value &Root)
    -> std::optional<std::vector<stored_object>> {
  if (!Root.isArray())
    return std::nullopt;
  std::vector<stored_object> Objects;
  for (const Json::Value &Element : Root) {
    auto Object = toObject(Element);
    if (!Object)
      return std::nullopt;
    Objects.push_back(std::move(*Object));
  }
  return Objects;
}

auto toInstance(const Json::Value &Root) -> instance {
  instance Instance;
  Instance.Id = text(Root, "id");
  Instance.CallerAddress = text(Root, "caller_address");
  Instance.PeerAddress = text(Root, "peer_address");
  Instance.Domain = text(Root, "failure_domain");
  Instance.State = text(Root, "state") == "leaving" ? instance_state::Leaving
                                                    : instance_state::Live;
  return Instance;
}

} // namespace

auto readObject(const std::string &Body) -> std::optional<stored_object> {
  return toObject(parse(Body));
}

auto readVersion(const std::string &Body) -> std::optional<object_version> {
  const Json::Value Root = parse(Body);
  const Json::Value &Version = member(Root, "version");
  if (!Version.isUInt64())
    return std::nullopt;
  return Version.asUInt64();
}

auto readObjects(const std::string &Body)
    -> std::optional<std::vector<stored_object>> {
  return toObjects(member(parse(Body), "objects"));
}

auto readWatch(const std::string &Body) -> std::optional<watch_reply> {
  const Json::Value Root = parse(Body);
  const Json::Value &Revision = member(Root, "revision");
  auto Changed = toObjects(member(Root, "changed"));
  if (!Revision.isUInt64() || !Changed)
    return std::nullopt;
  return watch_reply{Revision.asUInt64(), std::move(*Changed)};
}

auto readRoster(const std::string &Body) -> std::optional<roster> {
  const Json::Value Root = parse(Body);
  const Json::Value &Instances = member(Root, "instances");
  if (!Instances.isArray())
    return std::nullopt;
  roster Roster;
  for (const Json::Value &Element : Instances)
    if (!text(Element, "id").empty())
      Roster.Instances.push_back(toInstance(Element));
  const Json::Value &Targets = member(Root, "targets");
  if (!Targets.isArray())
    return Roster;
  for (const Json::Value &Element : Targets)
    if (!text(Element, "id").empty())
      Roster.Targets.push_back(
          {text(Element, "id"), text(Element, "state") == "leaving"});
  return Roster;
}

} // namespace tarragon::store
