#include "report/burntracker.h"

namespace tarragon::report {

namespace {

/// Misses over those that the objective allows.
auto burnRate(const std::uint64_t Misses, const std::uint64_t Requests,
              const double WantedShare) -> double {
  constexpr double LeastBudget = 1e-9; // an objective of all is burnt by one
  if (Requests == 0)
    return 0;
  const double Budget = std::max(1.0 - WantedShare, LeastBudget);
  return static_cast<double>(Misses) / static_cast<double>(Requests) / Budget;
}

auto computeRates(burn_window &Window, const objective &Objective) -> void {
  Window.LatencyBurn =
      burnRate(Window.LatencyMisses, Window.Requests, Objective.LatencyShare);
  Window.CoverageBurn =
      burnRate(Window.CoverageMisses, Window.Requests, Objective.CoverageShare);
}

auto computeRow(burn_row &Row) -> void {
  computeRates(Row.Short, Row.Objective);
  computeRates(Row.Long, Row.Objective);
  Row.LatencyBudgetLeft = 1 - Row.Long.LatencyBurn;
  Row.CoverageBudgetLeft = 1 - Row.Long.CoverageBurn;
}

auto addCounts(burn_window &Sum, const burn_window &Part) -> void {
  Sum.Length = Part.Length;
  Sum.Requests += Part.Requests;
  Sum.LatencyMisses += Part.LatencyMisses;
  Sum.CoverageMisses += Part.CoverageMisses;
}

} // namespace

burn_tracker::burn_tracker(const burn_settings Settings) : Settings(Settings) {}

auto burn_tracker::setContracts(const std::vector<contract> &Contracts)
    -> void {
  const auto Buckets =
      static_cast<std::size_t>(Settings.LongWindow / Settings.Bucket);
  std::map<contract_id, track> Next;
  for (const contract &Contract : Contracts) {
    const auto Known = Tracks.find(Contract.Id);
    track &Track = Next[Contract.Id];
    if (Known != Tracks.end())
      Track = std::move(Known->second);
    else
      Track.Ring.resize(Buckets);
    Track.Objective = Contract.Objective;
  }
  Tracks = std::move(Next);
}

auto burn_tracker::record(const contract_id &Contract,
                          const microseconds Latency, const bool Complete,
                          const time_point Now) -> void {
  const auto Found = Tracks.find(Contract);
  if (Found == Tracks.end())
    return;
  track &Track = Found->second;
  const std::int64_t Number = bucketNumber(Now);
  bucket &Bucket =
      Track.Ring[static_cast<std::size_t>(Number) % Track.Ring.size()];
  if (Bucket.Number != Number)
    Bucket = {Number};
  ++Bucket.Requests;
  Bucket.LatencyMisses += Latency > Track.Objective.Latency ? 1 : 0;
  Bucket.CoverageMisses += Complete ? 0 : 1;
}

auto burn_tracker::report(const time_point Now) const -> burn_report {
  burn_report Report;
  for (const auto &[Id, Track] : Tracks) {
    burn_row Row{Id, Track.Objective, sum(Track, Settings.ShortWindow, Now),
                 sum(Track, Settings.LongWindow, Now)};
    computeRow(Row);
    Report.push_back(std::move(Row));
  }
  return Report;
}

auto burn_tracker::bucketNumber(const time_point Now) const -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(Now.time_since_epoch()) /
         Settings.Bucket;
}

auto burn_tracker::sum(const track &Track, const milliseconds Length,
                       const time_point Now) const -> burn_window {
  const std::int64_t Last = bucketNumber(Now);
  const std::int64_t First = Last - Length / Settings.Bucket + 1;
  burn_window Window{Length};
  for (const bucket &Bucket : Track.Ring) {
    if (Bucket.Number < First || Bucket.Number > Last)
      continue;
    Window.Requests += Bucket.Requests;
    Window.LatencyMisses += Bucket.LatencyMisses;
    Window.CoverageMisses += Bucket.CoverageMisses;
  }
  return Window;
}

auto mergeBurn(const std::vector<burn_report> &Reports) -> burn_report {
  std::map<contract_id, burn_row> Rows;
  for (const burn_report &Report : Reports)
    for (const burn_row &Row : Report) {
      burn_row &Sum = Rows[Row.Contract];
      Sum.Contract = Row.Contract;
      Sum.Objective = Row.Objective;
      addCounts(Sum.Short, Row.Short);
      addCounts(Sum.Long, Row.Long);
    }
  burn_report Merged;
  for (auto &[Id, Row] : Rows) {
    computeRow(Row);
    Merged.push_back(std::move(Row));
  }
  return Merged;
}

} // namespace tarragon::report
