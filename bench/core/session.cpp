#include "bench/core/session.h"

#include <json/json.h>

namespace tarragon::bench {

namespace {

constexpr double WarmUpPerSecond = 30;
constexpr milliseconds WarmUpLength{700};

auto addBroken(std::vector<std::string> &Texts, const char *const Name,
               const std::size_t Count) -> void {
  if (Count > 0)
    Texts.push_back(std::string(Name) + ": " + std::to_string(Count));
}

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
    return "no addresses for callers";
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
  keep(Records);
  return Records;
}

auto session::playNaive(const schedule_plan &Plan) -> std::vector<call_record> {
  auto Records = Naive.play(nextSchedule(Plan));
  NaiveRequests += Records.size();
  return Records;
}

auto session::keep(const std::vector<call_record> &Records) -> void {
  Kept.insert(Kept.end(), Records.begin(), Records.end());
}

auto session::finish(Json::Value Figures, const bool CheckItems)
    -> experiment_result {
  if (CheckItems)
    Audit.checkAnswers(Kept, Broken);
  promise_audit::checkRuns(Kept, readRunLog(Cluster.runLog()), Broken);
  experiment_result Result;
  addBroken(Result.Broken, "mixed versions", Broken.Mixed);
  addBroken(Result.Broken, "wrong coverage", Broken.CoverageErrors);
  addBroken(Result.Broken, "run twice", Broken.RunTwice);
  addBroken(Result.Broken, "false not_run", Broken.FalseNotRun);
  for (const std::string &Example : Broken.Examples)
    Result.Broken.push_back("example " + Example);
  Figures["requests"] = Json::UInt64(Kept.size());
  Figures["baseline"]["requests"] = Json::UInt64(NaiveRequests);
  for (const call_record &Record : Kept)
    Figures["codes"][std::to_string(Record.Code)] =
        Figures["codes"][std::to_string(Record.Code)].asUInt() + 1;
  Result.Figures = std::move(Figures);
  return Result;
}

} // namespace tarragon::bench
