#include "standins/platform/platformserver.h"

#include "global/json.h"

#include <json/json.h>

#include <cstdlib>

namespace tarragon::standins {

namespace {

constexpr std::string_view ObjectsPath = "/v1/objects/";

auto parameter(const http_request &Request, const std::string &Name)
    -> std::string {
  const auto Found = Request.Parameters.find(Name);
  return Found == Request.Parameters.end() ? std::string() : Found->second;
}

auto numericParameter(const http_request &Request, const std::string &Name)
    -> std::uint64_t {
  return std::strtoull(parameter(Request, Name).c_str(), nullptr, 10);
}

auto toJson(const platform_object &Object) -> Json::Value {
  Json::Value Value(Json::objectValue);
  Value["key"] = Object.Key;
  Value["version"] = Json::UInt64(Object.Version);
  if (Object.Version != 0)
    Value["value"] = Object.Value;
  return Value;
}

auto toJson(const std::vector<platform_object> &Objects) -> Json::Value {
  Json::Value List(Json::arrayValue);
  for (const platform_object &Object : Objects)
    List.append(toJson(Object));
  return List;
}

auto versionBody(const std::uint64_t Version) -> std::string {
  return "{\"version\":" + std::to_string(Version) + "}";
}

/// Returns the name of the counter for a call.
auto counterName(const http_request &Request) -> std::string {
  if (Request.Path.starts_with(ObjectsPath))
    return Request.Method == "GET"   ? "get"
           : Request.Method == "PUT" ? "put"
                                     : "delete";
  if (Request.Path == "/v1/list")
    return "list";
  if (Request.Path == "/v1/watch")
    return "watch";
  if (Request.Path == "/v1/instances")
    return "instances";
  return "other";
}

auto isWrite(const http_request &Request) -> bool {
  return Request.Method == "PUT" || Request.Method == "DELETE";
}

} // namespace

platform_server::platform_server(platform_settings Settings)
    : Settings(std::move(Settings)), WriteLimit(this->Settings.WritesPerSecond),
      ReadLimit(this->Settings.ReadsPerSecond),
      Server(this->Settings.Listen, this->Settings.Threads, 0) {}

auto platform_server::start() -> bool {
  return Server.start(
      [this](const http_request &Request, const http_reply &Reply) {
        receive(Request, Reply);
      });
}

auto platform_server::receive(const http_request &Request,
                              const http_reply &Reply) -> void {
  if (Request.Path.starts_with("/control/")) {
    control(Request, Reply);
    return;
  }
  milliseconds Delay{0};
  {
    const std::lock_guard Lock(Mutex);
    ++Counters[counterName(Request)];
    Delay = Faults.Delay;
  }
  if (Delay.count() == 0) {
    serve(Request, Reply);
    return;
  }
  Timers.runAt(std::chrono::steady_clock::now() + Delay,
               [this, Request, Reply] { serve(Request, Reply); });
}

auto platform_server::serve(const http_request &Request,
                            const http_reply &Reply) -> void {
  const std::lock_guard Lock(Mutex);
  if (Faults.Down != outage_kind::None) {
    ++Counters["while_down"];
    if (Faults.Down == outage_kind::Closing)
      Reply.close();
    else
      Reply.send(503, "{}");
    return;
  }
  rate_limit &Limit = isWrite(Request) ? WriteLimit : ReadLimit;
  if (!Limit.allow(std::chrono::steady_clock::now())) {
    ++Counters["over_rate"];
    Reply.send(429, "{}");
    return;
  }
  if (Request.Path.starts_with(ObjectsPath)) {
    serveObject(Request, Reply);
    return;
  }
  if (Request.Method != "GET") {
    Reply.send(405, "{}");
    return;
  }
  if (Request.Path == "/v1/list") {
    Json::Value Body(Json::objectValue);
    Body["revision"] = Json::UInt64(Store.revision());
    Body["objects"] = toJson(Store.list(parameter(Request, "prefix")));
    Reply.send(200, writeJson(Body));
    return;
  }
  if (Request.Path == "/v1/watch") {
    serveWatch(Request, Reply);
    return;
  }
  if (Request.Path == "/v1/instances") {
    Reply.send(200, Instances);
    return;
  }
  Reply.send(404, "{}");
}

auto platform_server::serveObject(const http_request &Request,
                                  const http_reply &Reply) -> void {
  const std::string Key = Request.Path.substr(ObjectsPath.size());
  if (isWrite(Request)) {
    serveWrite(Request, Key, Reply);
    return;
  }
  const platform_object Object = Store.get(Key);
  if (Object.Version == 0)
    Reply.send(404, "{}");
  else
    Reply.send(200, writeJson(toJson(Object)));
}

auto platform_server::serveWrite(const http_request &Request,
                                 const std::string &Key,
                                 const http_reply &Reply) -> void {
  if (!Request.Parameters.contains("if_version")) {
    Reply.send(400, "{}");
    return;
  }
  const std::uint64_t IfVersion = numericParameter(Request, "if_version");
  const store_outcome Outcome = Request.Method == "PUT"
                                    ? Store.put(Key, Request.Body, IfVersion)
                                    : Store.remove(Key, IfVersion);
  if (Outcome.Status != 200) {
    Reply.send(Outcome.Status, versionBody(Outcome.Version));
    return;
  }
  ++Writes;
  answerWaiters(Key);
  const auto Every = static_cast<std::uint64_t>(Faults.DropReplyEvery);
  if (Every == 0 || Writes % Every != 0) {
    Reply.send(200, versionBody(Outcome.Version));
    return;
  }
  ++Counters["replies_dropped"];
  Timers.runAt(std::chrono::steady_clock::now() + Faults.DropHold,
               [Reply] { Reply.close(); });
}

auto platform_server::serveWatch(const http_request &Request,
                                 const http_reply &Reply) -> void {
  const std::string Prefix = parameter(Request, "prefix");
  const std::uint64_t After = numericParameter(Request, "after");
  const milliseconds Wait(numericParameter(Request, "wait_ms"));
  if (Wait.count() == 0 || !Store.changedAfter(Prefix, After).empty()) {
    Reply.send(200, watchAnswer(Prefix, After));
    return;
  }
  const std::uint64_t Number = ++NextWaiter;
  Waiters.emplace(Number, waiter{Prefix, After, Reply});
  Timers.runAt(std::chrono::steady_clock::now() + Wait,
               [this, Number] { expireWaiter(Number); });
}

auto platform_server::watchAnswer(const std::string &Prefix,
                                  const std::uint64_t After) const
    -> std::string {
  Json::Value Body(Json::objectValue);
  Body["revision"] = Json::UInt64(Store.revision());
  Body["changed"] = toJson(Store.changedAfter(Prefix, After));
  return writeJson(Body);
}

auto platform_server::answerWaiters(const std::string &Key) -> void {
  std::erase_if(Waiters, [&](const auto &Entry) {
    const waiter &Waiter = Entry.second;
    if (!Key.starts_with(Waiter.Prefix))
      return false;
    Waiter.Reply.send(200, watchAnswer(Waiter.Prefix, Waiter.After));
    return true;
  });
}

auto platform_server::expireWaiter(const std::uint64_t Number) -> void {
  const std::lock_guard Lock(Mutex);
  const auto Found = Waiters.find(Number);
  if (Found == Waiters.end())
    return;
  const waiter Waiter = Found->second;
  Waiters.erase(Found);
  Waiter.Reply.send(200, watchAnswer(Waiter.Prefix, Waiter.After));
}

auto platform_server::control(const http_request &Request,
                              const http_reply &Reply) -> void {
  if (Request.Path == "/control/ready") {
    Reply.send(200, "{}");
    return;
  }
  if (Request.Path == "/control/counters") {
    const std::lock_guard Lock(Mutex);
    Reply.send(200, writeJson(counters()));
    return;
  }
  const auto Body = parseJson(Request.Body);
  if (!Body || Request.Method != "POST") {
    Reply.send(400, "{}");
    return;
  }
  if (Request.Path == "/control/instances")
    setInstances(Body.value());
  else if (Request.Path == "/control/faults")
    setFaults(Body.value());
  Reply.send(200, "{}");
}

auto platform_server::setInstances(const Json::Value &Body) -> void {
  Json::Value Lists(Json::objectValue);
  Lists["instances"] = Body.get("instances", Json::arrayValue);
  Lists["targets"] = Body.get("targets", Json::arrayValue);
  const milliseconds Lag(Body.get("lag_ms", 0).asInt64());
  Timers.runAt(std::chrono::steady_clock::now() + Lag,
               [this, Text = writeJson(Lists)] {
                 const std::lock_guard Lock(Mutex);
                 Instances = Text;
               });
}

auto platform_server::setFaults(const Json::Value &Body) -> void {
  const std::lock_guard Lock(Mutex);
  if (Body.isMember("down")) {
    const Json::Value &Down = Body["down"];
    Faults.Down = Down.isString() ? outage_kind::Closing
                  : Down.asBool() ? outage_kind::Unavailable
                                  : outage_kind::None;
  }
  Faults.Delay = milliseconds(
      Body.get("delay_ms", Json::Int64(Faults.Delay.count())).asInt64());
  Faults.DropReplyEvery =
      Body.get("drop_reply_every", Faults.DropReplyEvery).asInt();
  Faults.DropHold = milliseconds(
      Body.get("drop_hold_ms", Json::Int64(Faults.DropHold.count())).asInt64());
  if (Faults.Down == outage_kind::None)
    return;
  for (const auto &[Number, Waiter] : Waiters)
    Waiter.Reply.close();
  Waiters.clear();
}

auto platform_server::counters() const -> Json::Value {
  Json::Value Body(Json::objectValue);
  for (const auto &[Name, Count] : Counters)
    Body[Name] = Json::UInt64(Count);
  Body["waiting"] = Json::UInt64(Waiters.size());
  Body["writes"] = Json::UInt64(Writes);
  Body["revision"] = Json::UInt64(Store.revision());
  const connection_counts Connections = Server.connections();
  Body["connections"] = Json::UInt64(Connections.Open);
  return Body;
}

} // namespace tarragon::standins
