#include "tests/support/runningsystem.h"

#include "bench/core/schedule.h"

#include "global/hash.h"
#include "global/json.h"

#include <json/json.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <stdexcept>

namespace tarragon::tests {

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr milliseconds PollPeriod{20};

auto now() -> time_point { return std::chrono::steady_clock::now(); }

/// Deadlines are long, because the tests check the answers and not latencies.
auto smallTopology() -> bench::topology {
  bench::topology Topology = bench::storefront();
  Topology.ServiceCount = 2;
  Topology.EntryCount = 3;
  Topology.ServiceMeanMs = 4;
  Topology.ConnectCost = microseconds(1000);
  Topology.Contracts = {
      {"search", {}, "merge: top_k, limit: 10, deadline: 5s"},
      {"order",
       {bench::serviceName(0)},
       "merge: by_key, limit: 10, deadline: 2s, repeatable: false"}};
  return Topology;
}

} // namespace

running_system::running_system(const program_paths &Paths)
    : Folder((std::filesystem::temp_directory_path() /
              ("tarragon-tests-" + std::to_string(::getpid())))
                 .string()) {
  std::filesystem::remove_all(Folder);
  std::filesystem::create_directories(Folder);
  const bench::topology Topology = smallTopology();
  Cluster = std::make_unique<bench::cluster>(
      bench::cluster_settings{Paths.Daemon, Paths.Target, Paths.Platform,
                              Folder, Seed},
      Topology, Loop);
  if (const auto Error = Cluster->start())
    throw std::runtime_error(*Error);
  bench::load_settings Load;
  Load.Timeout = milliseconds(10000);
  Client = std::make_unique<bench::load_client>(Loop, Topology, Load);
  if (!Client->prime())
    throw std::runtime_error("callers received no addresses");
}

running_system::~running_system() {
  Client.reset();
  Cluster.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
}

auto running_system::play(const std::string &Contract, const double PerSecond,
                          const milliseconds Length)
    -> std::vector<bench::call_record> {
  return playWith(Contract, PerSecond, Length, {});
}

auto running_system::playWith(
    const std::string &Contract, const double PerSecond,
    const milliseconds Length,
    std::vector<std::pair<milliseconds, std::function<void()>>> Actions)
    -> std::vector<bench::call_record> {
  bench::schedule_plan Plan;
  Plan.Contract = Contract;
  Plan.PerSecond = PerSecond;
  Plan.Length = Length;
  Plan.Repeatable = Contract != "order";
  Plan.WithKey = Contract == "order";
  Plan.Label = "t" + std::to_string(++Windows);
  for (auto &[After, Do] : Actions)
    Loop.runAt(now() + After, std::move(Do));
  return Client->play(bench::makeSchedule(Plan, Seed + Windows));
}

auto running_system::call(const std::size_t Entry, const std::string &Method,
                          const std::string &Path, const std::string &Body,
                          const milliseconds Timeout) -> Json::Value {
  const auto Answer = Loop.call(
      {Method, Cluster->entry(Entry).Caller, Path, {}, Body, Timeout});
  const auto Parsed = parseJson(Answer.Body);
  return Parsed ? Parsed.value() : Json::Value();
}

auto running_system::status(const std::size_t Entry, const std::string &Method,
                            const std::string &Path, const std::string &Body,
                            const std::vector<std::string> &Headers) -> int {
  return Loop
      .call({Method, Cluster->entry(Entry).Caller, Path, Headers, Body,
             milliseconds(10000)})
      .Status;
}

auto running_system::requestTicket(const std::size_t Entry) -> std::string {
  return call(Entry, "POST", "/v1/tickets?count=1")["tickets"][0].asString();
}

auto running_system::order(const std::size_t Entry, const std::string &Ticket,
                           const std::string &Body, const milliseconds Timeout)
    -> Json::Value {
  Json::Value Request;
  Request["contract"] = "order";
  Request["key"] = "k";
  Request["body"] = Body;
  Request["ticket"] = Ticket;
  return call(Entry, "POST", "/v1/query", writeJson(Request), Timeout);
}

auto running_system::waitUntil(const std::function<bool()> &Done,
                               const milliseconds Limit) -> bool {
  const time_point Deadline = now() + Limit;
  while (!Done()) {
    if (now() > Deadline)
      return false;
    Loop.runUntil(now() + PollPeriod);
  }
  return true;
}

auto running_system::countRuns(const std::string &Body) -> std::size_t {
  const auto Events = bench::readRunLog(Cluster->runLog());
  return static_cast<std::size_t>(
      std::count_if(Events.begin(), Events.end(), [&](const auto &Event) {
        return Event.Event == "start" && Event.Request == hash64(Body);
      }));
}

auto running_system::audit(const std::vector<bench::call_record> &Records)
    -> bench::invariant_violations {
  bench::invariant_violations Violations;
  bench::invariant_audit Audit(Cluster->topologyPlan());
  Audit.checkAnswers(Records, Violations);
  bench::invariant_audit::checkRuns(
      Records, bench::readRunLog(Cluster->runLog()), Violations);
  return Violations;
}

} // namespace tarragon::tests
