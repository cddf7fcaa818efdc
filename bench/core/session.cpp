#include "bench/core/session.h"

#include <json/json.h>

#include <fstream>

namespace tarragon::bench {

namespace {

constexpr double WarmUpPerSecond = 30;
constexpr milliseconds WarmUpLength{700};

auto addViolation(std::vector<std::string> &Texts, const char *const Name,
                  const std::size_t Count) -> void {
  if (Count > 0)
    Texts.push_back(std::string(Name) + ": " + std::to_string(Count));
}

auto increment(Json::Value &Count) -> void { Count = Count.asUInt() + 1; }

} // namespace

session::session(session_options Options, topology Topology)
    : Options(std::move(Options)),
      Cluster(this->Options.Cluster, Topology, Loop),
      Client(Loop, Topology, this->Options.Load),
      Naive(Topology, this->Options.NaiveDeadline), Audit(Topology) {}

auto session::start() -> std::optional<std::string> {
  if (auto Error = Cluster.start())
    return Error;
  if (!Client.prime())
    return "callers received no addresses";
  schedule_plan WarmUp;
  WarmUp.PerSecond = WarmUpPerSecond;
  WarmUp.Length = WarmUpLength;
  WarmUp.Contract = Cluster.topologyPlan().Contracts.front().Id;
  Client.play(nextSchedule(WarmUp));
  return std::nullopt;
}

auto session::nextSchedule(schedule_plan Plan) -> std::vector<scheduled_call> {
  ++Windows;
  Plan.Label += "w" + std::to_string(Windows);
  return makeSchedule(Plan, Options.Cluster.Seed * 7919 + Windows);
}

auto session::playProduct(const schedule_plan &Plan)
    -> std::vector<call_record> {
  auto Records = Client.play(nextSchedule(Plan));
  addRecords(Records);
  return Records;
}

auto session::playNaive(const schedule_plan &Plan) -> std::vector<call_record> {
  auto Records = Naive.play(nextSchedule(Plan));
  NaiveRequests += Records.size();
  return Records;
}

auto session::checkNaive(const std::vector<call_record> &Records)
    -> invariant_violations {
  invariant_violations Found;
  Audit.checkAnswers(Records, Found);
  return Found;
}

auto session::playProductWith(const schedule_plan &Plan,
                              const std::vector<timed_action> &Actions)
    -> std::vector<call_record> {
  const time_point Start = std::chrono::steady_clock::now();
  for (const timed_action &Action : Actions)
    Loop.runAt(Start + Action.At, Action.Do);
  auto Records = playProduct(Plan);
  // Carries out the actions that are due after the last answer.
  Loop.runUntil(Start + Plan.Length);
  return Records;
}

auto session::addRecords(const std::vector<call_record> &Records) -> void {
  AllRecords.insert(AllRecords.end(), Records.begin(), Records.end());
}

auto session::writeRecords() const -> void {
  std::ofstream File(Options.Cluster.Folder + "/answers.log");
  for (const call_record &Record : AllRecords) {
    File << Record.Call.Body << " at_ms " << Record.Call.At.count() / 1000
         << " took_ms " << Record.Latency.count() / 1000 << " code "
         << Record.Code << " sends " << Record.Sends << " attempts "
         << Record.Attempts << " " << Record.Detail;
    for (std::size_t Number = 0; Number < Record.Missing.size(); ++Number)
      File << " missing " << Record.Missing[Number].Service << "/"
           << Record.Missing[Number].Shard << " " << Record.Reasons[Number];
    File << '\n';
  }
}

auto session::finish(Json::Value Figures, const bool CheckItems)
    -> experiment_result {
  if (CheckItems)
    Audit.checkAnswers(AllRecords, Violations);
  invariant_audit::checkRuns(AllRecords, readRunLog(Cluster.runLog()),
                             Violations);
  writeRecords();
  experiment_result Result;
  addViolation(Result.Violations, "mixed versions", Violations.Mixed);
  addViolation(Result.Violations, "wrong coverage", Violations.CoverageErrors);
  addViolation(Result.Violations, "run twice", Violations.RunTwice);
  addViolation(Result.Violations, "false not_run", Violations.FalseNotRun);
  for (const std::string &Crash : Cluster.crashedEntries())
    Result.Violations.push_back(Crash);
  for (const std::string &Example : Violations.Examples)
    Result.Violations.push_back("example " + Example);
  Figures["requests"] = Json::UInt64(AllRecords.size());
  Figures["baseline"]["requests"] = Json::UInt64(NaiveRequests);
  for (const call_record &Record : AllRecords) {
    increment(Figures["codes"][std::to_string(Record.Code)]);
    for (const std::string &Reason : Record.Reasons)
      increment(Figures["missing"][Reason]);
  }
  Result.Figures = std::move(Figures);
  return Result;
}

} // namespace tarragon::bench
