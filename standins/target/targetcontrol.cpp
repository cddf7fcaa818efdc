#include "global/json.h"
#include "standins/corpus.h"
#include "standins/target/targetserver.h"

#include <json/json.h>

#include <unistd.h>

namespace tarragon::standins {

namespace {

constexpr int CrashStatus = 70;

} // namespace

auto target_server::control(const http_request &Request,
                            const http_reply &Reply) -> void {
  if (Request.Method == "GET") {
    const std::lock_guard Lock(Mutex);
    Reply.send(200, writeJson(state()));
    return;
  }
  const auto Body = parseJson(Request.Body);
  if (!Body) {
    Reply.send(400, "{}");
    return;
  }
  if (Body.value().get("crash", false).asBool())
    ::_exit(CrashStatus);
  bool Resumed = false;
  {
    const std::lock_guard Lock(Mutex);
    const bool WasFrozen = Faults.Frozen;
    setFaults(Body.value());
    Resumed = WasFrozen && !Faults.Frozen;
  }
  if (Resumed)
    resume();
  Reply.send(200, "{}");
}

auto target_server::setFaults(const Json::Value &Body) -> void {
  Faults.SlowFactor = Body.get("slow_factor", Faults.SlowFactor).asDouble();
  Faults.Frozen = Body.get("freeze", Faults.Frozen).asBool();
  Faults.Leaving = Body.get("leaving", Faults.Leaving).asBool();
  Faults.LieHealth = Body.get("lie_health", Faults.LieHealth).asBool();
  const auto Read = [&Body](const char *const Name, std::uint64_t &Value) {
    if (Body.isMember(Name))
      Value = Body[Name].asUInt64();
  };
  Read("fail_every", Faults.FailEvery);
  Read("cut_every", Faults.CutEvery);
  Read("cross_every", Faults.CrossEvery);
  if (Body.isMember("versions"))
    Settings.Versions = parseVersions(Body["versions"].asString());
}

auto target_server::resume() -> void {
  std::vector<held_request> Requests;
  std::vector<std::uint64_t> Finishes;
  {
    const std::lock_guard Lock(Mutex);
    Requests.swap(HeldRequests);
    Finishes.swap(HeldFinishes);
  }
  for (const std::uint64_t Number : Finishes)
    finish(Number);
  for (const held_request &Held : Requests)
    handle(Held);
}

auto target_server::state() const -> Json::Value {
  const connection_counts Connections = Server.connections();
  Json::Value State(Json::objectValue);
  State["id"] = Settings.Id;
  State["running"] = Json::UInt64(Running.size());
  State["peak_running"] = Json::UInt64(Counters.PeakRunning);
  State["runs"] = Json::UInt64(Counters.Runs);
  State["answers"] = Json::UInt64(Counters.Answers);
  State["sheds"] = Json::UInt64(Counters.Sheds);
  State["cancelled"] = Json::UInt64(Counters.Cancelled);
  State["expired"] = Json::UInt64(Counters.Expired);
  State["wrong_version"] = Json::UInt64(Counters.WrongVersion);
  State["leaving_refusals"] = Json::UInt64(Counters.LeavingRefusals);
  State["connections_open"] = Json::UInt64(Connections.Open);
  State["connections_peak"] = Json::UInt64(Connections.Peak);
  State["connections_opened"] = Json::UInt64(Connections.Opened);
  State["connections_refused"] = Json::UInt64(Connections.Refused);
  return State;
}

auto target_server::health(const http_request &Request, const http_reply &Reply)
    -> void {
  const std::lock_guard Lock(Mutex);
  if (Request.Path == "/health") {
    const bool Healthy = Faults.Leaving == Faults.LieHealth;
    Reply.send(Healthy ? 200 : 503,
               Healthy ? R"({"healthy":true})" : R"({"healthy":false})");
    return;
  }
  if (Request.Path == "/load") {
    const std::size_t Load = Faults.LieHealth ? 0 : Running.size();
    Reply.send(200, "{\"running\":" + std::to_string(Load) + "}");
    return;
  }
  Reply.send(404, "{}");
}

} // namespace tarragon::standins
