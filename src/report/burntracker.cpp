#include "report/burntracker.h"

namespace tarragon::report {

namespace {

/// Returns the share of misses divided by the share that the objective allows.
auto burnRate(const std::uint64_t Misses, const std::uint64_t Requests,
              const double ObjectiveShare) -> double {
  // Avoids a division by zero when the objective is 100 %, where one miss uses
  // up the budget.
  constexpr double MinBudget = 1e-9;
  if (Requests == 0)
    return 0;
  const double Budget = std::max(1.0 - ObjectiveShare, MinBudget);
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

auto addCounts(burn_window &Sum, const burn_window &Addend) -> void {
  Sum.Length = Addend.Length;
  Sum.Requests += Addend.Requests;
  Sum.LatencyMisses += Addend.LatencyMisses;
  Sum.CoverageMisses += Addend.CoverageMisses;
}

} // namespace

burn_tracker::burn_tracker(const burn_settings Settings) : Settings(Settings) {}

auto burn_tracker::setContracts(const std::vector<contract> &Contracts)
    -> void {
  const auto Buckets =
      static_cast<std::size_t>(Settings.LongWindow / Settings.Bucket);
  std::map<contract_id, contract_counts> Next;
  for (const contract &Contract : Contracts) {
    const auto Previous = CountsByContract.find(Contract.Id);
    contract_counts &Counts = Next[Contract.Id];
    if (Previous != CountsByContract.end())
      Counts = std::move(Previous->second);
    else
      Counts.Ring.resize(Buckets);
    Counts.Objective = Contract.Objective;
  }
  CountsByContract = std::move(Next);
}

auto burn_tracker::record(const contract_id &Contract,
                          const microseconds Latency, const bool Complete,
                          const time_point Now) -> void {
  const auto Found = CountsByContract.find(Contract);
  if (Found == CountsByContract.end())
    return;
  contract_counts &Counts = Found->second;
  const std::int64_t Number = bucketNumber(Now);
  bucket &Bucket =
      Counts.Ring[static_cast<std::size_t>(Number) % Counts.Ring.size()];
  if (Bucket.Number != Number)
    Bucket = {Number};
  ++Bucket.Requests;
  Bucket.LatencyMisses += Latency > Counts.Objective.Latency ? 1 : 0;
  Bucket.CoverageMisses += Complete ? 0 : 1;
}

auto burn_tracker::report(const time_point Now) const -> burn_report {
  burn_report Report;
  for (const auto &[Id, Counts] : CountsByContract) {
    burn_row Row{Id, Counts.Objective,
                 sumBuckets(Counts, Settings.ShortWindow, Now),
                 sumBuckets(Counts, Settings.LongWindow, Now)};
    computeRow(Row);
    Report.push_back(std::move(Row));
  }
  return Report;
}

auto burn_tracker::bucketNumber(const time_point Now) const -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(Now.time_since_epoch()) /
         Settings.Bucket;
}

auto burn_tracker::sumBuckets(const contract_counts &Counts,
                              const milliseconds Length,
                              const time_point Now) const -> burn_window {
  const std::int64_t Last = bucketNumber(Now);
  const std::int64_t First = Last - Length / Settings.Bucket + 1;
  burn_window Window{Length};
  for (const bucket &Bucket : Counts.Ring) {
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
