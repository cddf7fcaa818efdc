#include "standins/target/targetserver.h"

#include "global/json.h"
#include "standins/corpus.h"

#include <json/json.h>

#include <algorithm>
#include <cstdlib>

#include <unistd.h>

namespace tarragon::standins {

namespace {

constexpr std::string_view RunPath = "/v1/run";
constexpr std::string_view PoisonWord = "poison";
constexpr int CrashStatus = 70;
constexpr double MaxColdFactor = 5;

auto now() -> time_point { return std::chrono::steady_clock::now(); }

auto readRun(const Json::Value &Body) -> target_run {
  target_run Run;
  Run.Attempt = Body["attempt"].asString();
  Run.Body = Body["body"].asString();
  Run.Service = Body["service"].asString();
  Run.Shard = Body["shard"].asUInt64();
  Run.ShardCount = Body["shards"].asUInt64();
  Run.Version = Body["version"].asUInt64();
  Run.Limit = Body.get("limit", 0).asUInt64();
  Run.Repeatable = Body.get("repeatable", true).asBool();
  return Run;
}

auto toJson(const item &Item) -> Json::Value {
  Json::Value Value(Json::objectValue);
  Value["key"] = Item.Key;
  Value["score"] = Item.Score;
  Value["body"] = Item.Body;
  return Value;
}

auto httpStatus(const std::string_view Error) -> int {
  if (Error == "wrong_version")
    return 409;
  return Error == "expired" ? 504 : 503;
}

} // namespace

target_server::target_server(target_settings Settings)
    : Settings(std::move(Settings)), Started(now()),
      Random(this->Settings.Seed),
      ServiceFactor(-this->Settings.ServiceSigma * this->Settings.ServiceSigma /
                        2,
                    this->Settings.ServiceSigma),
      Log(this->Settings.RunLogPath, this->Settings.Id),
      Server(this->Settings.Listen, this->Settings.Threads,
             this->Settings.Connections) {}

auto target_server::start() -> bool {
  return Server.start(
      [this](const http_request &Request, const http_reply &Reply) {
        try {
          receive(Request, Reply);
        } catch (const Json::Exception &Error) {
          Reply.send(400, errorBody({}, Error.what()));
        }
      });
}

auto target_server::receive(const http_request &Request,
                            const http_reply &Reply) -> void {
  if (Request.Path.starts_with("/control")) {
    control(Request, Reply);
    return;
  }
  const held_request Held{Request, Reply, now()};
  {
    const std::lock_guard Lock(Mutex);
    if (Faults.Frozen) {
      HeldRequests.push_back(Held);
      return;
    }
  }
  if (!Request.FirstOfConnection || Settings.ConnectCost.count() == 0) {
    handle(Held);
    return;
  }
  Timers.runAt(Held.Arrived + Settings.ConnectCost, [this, Held] {
    try {
      handle(Held);
    } catch (const Json::Exception &Error) {
      Held.Reply.send(400, errorBody({}, Error.what()));
    }
  });
}

auto target_server::handle(const held_request &Held) -> void {
  const http_request &Request = Held.Request;
  if (Request.Method == "POST" && Request.Path == RunPath) {
    admit(Held);
    return;
  }
  if (Request.Method == "DELETE" && Request.Path.starts_with(RunPath) &&
      Request.Path.size() > RunPath.size()) {
    cancel(Request.Path.substr(RunPath.size() + 1), Held.Reply);
    return;
  }
  health(Request, Held.Reply);
}

auto target_server::admit(const held_request &Held) -> void {
  const auto Body = parseJson(Held.Request.Body);
  if (!Body || !Body.value()["attempt"].isString()) {
    Held.Reply.send(400, errorBody({}, "malformed"));
    return;
  }
  target_run Run = readRun(Body.value());
  const long long Remaining = std::atoll(Held.Request.DeadlineHeader.c_str());
  Run.Deadline = Held.Arrived + milliseconds(Remaining);
  const std::lock_guard Lock(Mutex);
  const std::string_view Refusal = refusal(Run);
  if (Refusal.empty()) {
    begin(std::move(Run), Held.Reply);
    return;
  }
  Held.Reply.send(httpStatus(Refusal), errorBody(Run.Attempt, Refusal),
                  Run.Attempt);
}

auto target_server::refusal(const target_run &Run) -> std::string_view {
  if (Faults.Leaving) {
    ++Counters.LeavingRefusals;
    return "leaving";
  }
  if (Run.Deadline <= now()) {
    ++Counters.Expired;
    return "expired";
  }
  if (Run.Service != Settings.Service ||
      !holds(Run.Version, Run.ShardCount, Run.Shard)) {
    ++Counters.WrongVersion;
    return "wrong_version";
  }
  if (Running.size() >= Settings.Slots) {
    ++Counters.Sheds;
    return "shed";
  }
  return {};
}

auto target_server::begin(target_run Run, const http_reply &Reply) -> void {
  Run.Started = now();
  Run.Planned = serviceTime();
  Log.write("start", Run, Run.Planned);
  ++Counters.Runs;
  time_point End = std::min(Run.Started + Run.Planned, Run.Deadline);
  const std::uint64_t Number = ++NextRun;
  if (Run.Body.find(PoisonWord) != std::string::npos)
    Timers.runAt(Run.Started + Run.Planned / 2, [] { ::_exit(CrashStatus); });
  Running.emplace(Number, running{std::move(Run), Reply});
  Counters.PeakRunning = std::max(Counters.PeakRunning, Running.size());
  Timers.runAt(End, [this, Number] { finish(Number); });
}

auto target_server::finish(const std::uint64_t Number) -> void {
  const std::lock_guard Lock(Mutex);
  if (Faults.Frozen) {
    HeldFinishes.push_back(Number);
    return;
  }
  const auto Found = Running.find(Number);
  if (Found == Running.end())
    return;
  const running Done = std::move(Found->second);
  Running.erase(Found);
  answer(Done.Run, Done.Reply);
}

auto target_server::answer(const target_run &Run, const http_reply &Reply)
    -> void {
  const auto Elapsed =
      std::chrono::duration_cast<microseconds>(now() - Run.Started);
  if (Run.Started + Run.Planned > Run.Deadline) {
    Log.write("expire", Run, Elapsed);
    ++Counters.Cancelled;
    Reply.send(499, errorBody(Run.Attempt, "cancelled"), Run.Attempt);
    return;
  }
  const std::uint64_t Answer = ++Counters.Answers;
  const auto IsNth = [Answer](const std::uint64_t Every) {
    return Every != 0 && Answer % Every == 0;
  };
  if (IsNth(Faults.FailEvery)) {
    Log.write("fail", Run, Elapsed);
    Reply.send(500, errorBody(Run.Attempt, "failed"), Run.Attempt);
    return;
  }
  Log.write("end", Run, Elapsed);
  if (IsNth(Faults.CutEvery)) {
    Reply.sendCut(200, answerBody(Run, Run.Attempt), Run.Attempt);
    return;
  }
  const bool Crossed = IsNth(Faults.CrossEvery) && !LastAttempt.empty();
  const attempt_id Attempt = Crossed ? LastAttempt : Run.Attempt;
  LastAttempt = Run.Attempt;
  Reply.send(200, answerBody(Run, Attempt), Attempt);
}

auto target_server::cancel(const attempt_id &Attempt, const http_reply &Reply)
    -> void {
  const std::lock_guard Lock(Mutex);
  const auto Found =
      std::find_if(Running.begin(), Running.end(), [&](const auto &Entry) {
        return Entry.second.Run.Attempt == Attempt;
      });
  if (Found == Running.end()) {
    Reply.send(404, errorBody(Attempt, "unknown"), Attempt);
    return;
  }
  const running Cancelled = std::move(Found->second);
  Running.erase(Found);
  ++Counters.Cancelled;
  Log.write(
      "cancel", Cancelled.Run,
      std::chrono::duration_cast<microseconds>(now() - Cancelled.Run.Started));
  Cancelled.Reply.send(499, errorBody(Attempt, "cancelled"), Attempt);
  Reply.send(200, "{}", Attempt);
}

auto target_server::answerBody(const target_run &Run, const attempt_id &Attempt)
    -> std::string {
  Json::Value Body(Json::objectValue);
  Body["attempt"] = Attempt;
  Body["version"] = Json::UInt64(Run.Version);
  Body["shard"] = Json::UInt64(Run.Shard);
  Body["shards"] = Json::UInt64(Run.ShardCount);
  Json::Value Items(Json::arrayValue);
  for (const item &Item : bestItems(keysOf(Run.Shard, Run.ShardCount), Run.Body,
                                    Run.Version, Run.Limit))
    Items.append(toJson(Item));
  Body["count"] = Items.size();
  Body["items"] = std::move(Items);
  Body["held"] = heldVersions();
  return writeJson(Body);
}

auto target_server::errorBody(const attempt_id &Attempt,
                              const std::string_view Error) const
    -> std::string {
  Json::Value Body(Json::objectValue);
  Body["attempt"] = Attempt;
  Body["error"] = std::string(Error);
  if (Error == "wrong_version")
    Body["held"] = heldVersions();
  return writeJson(Body);
}

auto target_server::heldVersions() const -> Json::Value {
  Json::Value List(Json::arrayValue);
  for (const held_version &Held : Settings.Versions) {
    Json::Value Entry(Json::objectValue);
    Entry["version"] = Json::UInt64(Held.Version);
    Entry["shards"] = Json::UInt64(Held.ShardCount);
    List.append(Entry);
  }
  return List;
}

auto target_server::holds(const index_version Version,
                          const std::size_t ShardCount,
                          const std::size_t Shard) const -> bool {
  const held_version Wanted{Version, ShardCount};
  return std::find(Settings.Versions.begin(), Settings.Versions.end(),
                   Wanted) != Settings.Versions.end() &&
         Shard < ShardCount && Shard % Settings.Groups == Settings.GroupIndex;
}

auto target_server::serviceTime() -> microseconds {
  double Factor = ServiceFactor(Random) * Faults.SlowFactor;
  const auto Age = now() - Started;
  if (Age < Settings.Cold) {
    const double Warm = std::chrono::duration<double>(Age) /
                        std::chrono::duration<double>(Settings.Cold);
    Factor *= 1 + (MaxColdFactor - 1) * (1 - Warm);
  }
  return microseconds(static_cast<std::int64_t>(
      static_cast<double>(Settings.ServiceMean.count()) * Factor));
}

auto target_server::keysOf(const std::size_t Shard,
                           const std::size_t ShardCount)
    -> const std::vector<std::string> & {
  const auto [Entry, New] = Keys.try_emplace({Shard, ShardCount});
  if (New)
    Entry->second =
        shardKeys(Settings.Service, Settings.ItemCount, Shard, ShardCount);
  return Entry->second;
}

} // namespace tarragon::standins
