#include "bench/core/cluster.h"

#include "global/json.h"
#include "standins/corpus.h"

#include <json/json.h>

#include <algorithm>
#include <csignal>

namespace tarragon::bench {

namespace {

constexpr milliseconds StartTimeout{10000};
constexpr milliseconds PollPeriod{20};
constexpr char Token[] = "bench";

auto now() -> time_point { return std::chrono::steady_clock::now(); }

auto readAnswer(const http_answer &Answer) -> Json::Value {
  const auto Parsed = parseJson(Answer.Body);
  return Parsed ? Parsed.value() : Json::Value();
}

} // namespace

cluster::cluster(cluster_settings Settings, topology Topology, event_loop &Loop)
    : Settings(std::move(Settings)), Topology(std::move(Topology)), Loop(Loop),
      Targets(placeTargets(this->Topology)), LastStates(Targets.size()) {}

auto cluster::logPath(const std::string &Name) const -> std::string {
  return Settings.Folder + "/" + Name + ".log";
}

auto cluster::runLog() const -> std::string { return logPath("runs"); }

auto cluster::start() -> std::optional<std::string> {
  Platform.emplace(Settings.PlatformProgram,
                   std::vector<std::string>{"--listen", platformAddress()},
                   logPath("platform"));
  startTargets();
  if (!waitFor(platformAddress(), "/control/ready"))
    return "the platform stand-in does not start";
  for (const target_placement &Target : Targets)
    if (!waitFor(Target.Address, "/control/state"))
      return Target.Id + " does not start";
  publishSnapshot(Topology.Versions);
  for (std::size_t Number = 0; Number < Topology.EntryCount; ++Number)
    startEntry(Number);
  publishInstances();
  for (std::size_t Number = 0; Number < Topology.EntryCount; ++Number)
    if (!waitFor(entry(Number).Caller, "/v1/addresses"))
      return entry(Number).Id + " does not start";
  const Json::Value Applied = apply(0, deploymentText(Topology), "bench-1", 0);
  if (Applied["code"].asInt() != 0)
    return "apply: " + writeJson(Applied);
  for (std::size_t Number = 0; Number < Topology.EntryCount; ++Number)
    if (!waitEntry(Number, StartTimeout))
      return entry(Number).Id + " does not receive the configuration";
  return std::nullopt;
}

auto cluster::waitFor(const address &Address, const std::string &Path) -> bool {
  const time_point Deadline = now() + StartTimeout;
  while (now() < Deadline) {
    if (Loop.call({"GET", Address, Path, {}, {}, milliseconds(500)}).Status ==
        200)
      return true;
    Loop.runUntil(now() + PollPeriod);
  }
  return false;
}

auto cluster::waitEntry(const std::size_t Number, const milliseconds Limit)
    -> bool {
  const time_point Deadline = now() + Limit;
  while (now() < Deadline) {
    if (admin(Number, "/admin/v1/config")["version"].asUInt64() > 0)
      return true;
    Loop.runUntil(now() + PollPeriod);
  }
  return false;
}

auto cluster::startTargets() -> void {
  for (std::size_t Number = 0; Number < Targets.size(); ++Number)
    startTarget(Number);
}

auto cluster::targetArguments(const std::size_t Number) const
    -> std::vector<std::string> {
  const target_placement &Place = Targets[Number];
  const auto Text = [](const auto Value) { return std::to_string(Value); };
  return {"--listen",
          Place.Address,
          "--id",
          Place.Id,
          "--service",
          Place.Service,
          "--group-index",
          Text(Place.Group),
          "--groups",
          Text(Topology.GroupCount),
          "--slots",
          Text(Topology.Slots),
          "--connections",
          Text(Topology.Connections + 1), // one more for /control
          "--connect-cost-us",
          Text(Topology.ConnectCost.count()),
          "--service-mean-ms",
          Text(Topology.ServiceMeanMs),
          "--service-sigma",
          Text(Topology.ServiceSigma),
          "--versions",
          Topology.Versions,
          "--items",
          Text(Topology.ItemCount),
          "--seed",
          Text(Settings.Seed * 1000 + Number),
          "--run-log",
          runLog()};
}

auto cluster::startTarget(const std::size_t Number) -> void {
  TargetProcesses.erase(Number);
  TargetProcesses.emplace(Number, child_process(Settings.TargetProgram,
                                                targetArguments(Number),
                                                logPath("targets")));
}

auto cluster::killTarget(const std::size_t Number) -> void {
  TargetProcesses.at(Number).signal(SIGKILL);
}

auto cluster::targetExited(const std::size_t Number) -> bool {
  return TargetProcesses.at(Number).exitStatus().has_value();
}

auto cluster::controlTarget(const std::size_t Number,
                            const std::string &Members) -> void {
  Loop.call({"POST",
             Targets[Number].Address,
             "/control",
             {},
             Members,
             milliseconds(1000)});
}

auto cluster::postTarget(const std::size_t Number, const std::string &Members)
    -> void {
  Loop.start({"POST",
              Targets[Number].Address,
              "/control",
              {},
              Members,
              milliseconds(1000)},
             [](const http_answer &) {});
}

auto cluster::sumOfTargets(const char *const Member) -> double {
  double Sum = 0;
  for (std::size_t Number = 0; Number < Targets.size(); ++Number) {
    const http_answer Answer = Loop.call({"GET",
                                          Targets[Number].Address,
                                          "/control/state",
                                          {},
                                          {},
                                          milliseconds(1000)});
    if (Answer.Status == 200)
      LastStates[Number] = readAnswer(Answer);
    if (LastStates[Number].isObject())
      Sum += LastStates[Number][Member].asDouble();
  }
  return Sum;
}

auto cluster::platformCounters() -> Json::Value {
  return readAnswer(Loop.call({"GET",
                               platformAddress(),
                               "/control/counters",
                               {},
                               {},
                               milliseconds(1000)}));
}

auto cluster::controlPlatform(const std::string &Path, const std::string &Body)
    -> void {
  Loop.call({"POST", platformAddress(), Path, {}, Body, milliseconds(1000)});
}

auto cluster::entry(const std::size_t Number) const -> entry_placement {
  return placeEntry(Topology, Number);
}

auto cluster::seedAddresses() const -> std::string {
  std::string Text;
  for (std::size_t Number = 0; Number < Topology.EntryCount; ++Number)
    Text += (Text.empty() ? "" : ",") + entry(Number).Peer;
  return Text;
}

auto cluster::startEntry(const std::size_t Number) -> void {
  const entry_placement Place = entry(Number);
  Entries.erase(Number);
  KilledEntries.erase(Number);
  Entries.emplace(
      Number,
      child_process(Settings.Daemon,
                    {"--instance", Place.Id, "--failure-domain", Place.Domain,
                     "--caller-listen", Place.Caller, "--peer-listen",
                     Place.Peer, "--admin-token", Token, "--platform",
                     platformAddress(), "--peers", seedAddresses()},
                    logPath(Place.Id)));
}

auto cluster::signalEntry(const std::size_t Number, const int Signal) -> void {
  if (Signal == SIGKILL)
    KilledEntries.insert(Number);
  Entries.at(Number).signal(Signal);
}

auto cluster::crashedEntries() -> std::vector<std::string> {
  std::vector<std::string> Texts;
  for (auto &[Number, Process] : Entries) {
    const auto Status = Process.exitStatus();
    if (Status.value_or(0) != 0 && !KilledEntries.contains(Number))
      Texts.push_back(entry(Number).Id + " exited with status " +
                      std::to_string(*Status));
  }
  return Texts;
}

auto cluster::entryExit(const std::size_t Number) -> std::optional<int> {
  return Entries.at(Number).exitStatus();
}

auto cluster::publishInstances(const std::vector<instance_id> &Leaving)
    -> void {
  Json::Value Body(Json::objectValue);
  Body["instances"] = Json::Value(Json::arrayValue);
  for (const auto &[Number, Process] : Entries) {
    const entry_placement Place = entry(Number);
    const bool Leaves =
        std::find(Leaving.begin(), Leaving.end(), Place.Id) != Leaving.end();
    Json::Value Line(Json::objectValue);
    Line["id"] = Place.Id;
    Line["caller_address"] = Place.Caller;
    Line["peer_address"] = Place.Peer;
    Line["failure_domain"] = Place.Domain;
    Line["state"] = Leaves ? "leaving" : "live";
    Body["instances"].append(Line);
  }
  Body["targets"] = Json::Value(Json::arrayValue);
  for (const target_placement &Target : Targets) {
    Json::Value Line(Json::objectValue);
    Line["id"] = Target.Id;
    Line["state"] = "live";
    Body["targets"].append(Line);
  }
  controlPlatform("/control/instances", writeJson(Body));
}

auto cluster::publishSnapshot(const std::string &Versions) -> void {
  const held_version Newest = standins::parseVersions(Versions).back();
  Json::Value Body(Json::objectValue);
  Body["version"] = Json::UInt64(Newest.Version);
  for (std::size_t Number = 0; Number < Topology.ServiceCount; ++Number)
    Body["shards"][serviceName(Number)] = Json::UInt64(Newest.ShardCount);
  const http_answer Answer =
      Loop.call({"PUT",
                 platformAddress(),
                 "/v1/objects/snapshots/catalogue?if_version=" +
                     std::to_string(SnapshotVersion),
                 {},
                 writeJson(Body),
                 milliseconds(1000)});
  if (Answer.Status == 200)
    SnapshotVersion = readAnswer(Answer)["version"].asUInt64();
}

auto cluster::apply(const std::size_t Entry, const std::string &Text,
                    const std::string &ChangeId, const std::uint64_t Base)
    -> Json::Value {
  Json::Value Body(Json::objectValue);
  Body["text"] = Text;
  Body["change_id"] = ChangeId;
  Body["operator"] = "bench";
  Body["base"] = Json::UInt64(Base);
  const http_answer Answer =
      Loop.call({"POST",
                 entry(Entry).Caller,
                 "/admin/v1/apply",
                 {std::string("Authorization: Bearer ") + Token},
                 writeJson(Body),
                 milliseconds(10000)});
  return readAnswer(Answer);
}

auto cluster::admin(const std::size_t Entry, const std::string &Path)
    -> Json::Value {
  return readAnswer(Loop.call({"GET",
                               entry(Entry).Caller,
                               Path,
                               {std::string("Authorization: Bearer ") + Token},
                               {},
                               milliseconds(1000)}));
}

auto cluster::entryCpu() const -> milliseconds {
  milliseconds Sum{0};
  for (const auto &[Number, Process] : Entries)
    Sum += Process.cpuTime();
  return Sum;
}

} // namespace tarragon::bench
