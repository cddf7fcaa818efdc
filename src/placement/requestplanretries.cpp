// The part of a request plan that spends the retry budget.
#include "placement/internal/partsprobability.h"
#include "placement/internal/retrycosts.h"
#include "placement/internal/retryvalue.h"
#include "placement/latencymodel.h"
#include "placement/requestplan.h"
#include "placement/retrybudgettable.h"
#include "placement/targetset.h"

#include <algorithm>
#include <cmath>

namespace tarragon::placement {

namespace {

using internal::AmpleRetryShare;
using internal::LostPartCost;
using internal::retryValue;

/// The time in which targets that shed a part of a query have said so.
constexpr milliseconds RetryDecisionDelay{10};
/// The retries, beyond the parts that may be missing, that a query decides on
/// one by one while the budget is ample and the demand for retries isn't known.
/// More show a cause that concerns many services.
constexpr std::size_t MaxSingleRetries = 2;
/// From this probability of success on, all retries of a query are sent at
/// once, because few would be saved by one after the other.
constexpr double LikelySuccess = 0.5;
/// The chance of an answer that one retry must buy when the budget is used up.
constexpr double MaxPrice = 0.5;
/// The price up to which parts are retried that may be missing.
constexpr double MaxPriceOfSparePart = 0.003;

/// A part whose retry is due.
struct due_retry {
  std::size_t Index = 0;
  double SpareSteps = 0; ///< of the service's retry budget
  double RunShare = 0;   ///< probability that the retry isn't refused
};

} // namespace

auto request_plan::retry(const std::size_t Index, const time_point Now,
                         plan_actions &Actions) -> void {
  part &Part = Parts[Index];
  const retry_budget &Budget = Context.Budgets.budget(Part.Service);
  const bool IsAmple = Budget.spare(Now).Share >= AmpleRetryShare;
  const auto Failed = static_cast<std::size_t>(
      std::count_if(Parts.begin(), Parts.end(), [](const part &Each) {
        return !Each.Attempts.empty() && Each.Attempts.front().End &&
               !Each.Answered;
      }));
  const bool AreFew =
      Failed <= Parts.size() - Settings.MinParts + MaxSingleRetries;
  const bool IsImmediate = IsAmple && (AreFew || Budget.isDemandKnown(Now));
  if (IsImmediate || Parts.size() == 1)
    sendExtra(Index, false, Now, Actions);
  else if (static_cast<int>(Part.Attempts.size()) < Settings.MaxAttempts &&
           std::all_of(Part.Attempts.begin(), Part.Attempts.end(),
                       [](const attempt &Each) { return Each.End; }))
    Part.RetryAt = Now + RetryDecisionDelay;
}

auto request_plan::neededRetries() const -> std::size_t {
  std::size_t Possible = 0;
  for (const part &Part : Parts) {
    const bool InFlight =
        std::any_of(Part.Attempts.begin(), Part.Attempts.end(),
                    [](const attempt &Each) { return !Each.End; });
    Possible +=
        Part.Answered || InFlight || Part.Waiting || Part.Skipped ? 1 : 0;
  }
  return Settings.MinParts - std::min(Settings.MinParts, Possible);
}

auto request_plan::runShare(const part &Part, const time_point Now) const
    -> double {
  const microseconds Median = Context.Latencies.median();
  const auto *Target = Context.Targets.choose(Part.Service, Part.Tried, Median,
                                              Now, LostPartCost);
  if (!Target)
    return 0;
  const double Refused =
      Context.Targets.health(Target->Id).report(Median, Now).Refusals;
  return 1 - Context.Budgets.budget(Part.Service).refusedShare(Refused, Now);
}

auto request_plan::decideRetries(const time_point Now, plan_actions &Actions)
    -> void {
  std::vector<due_retry> Due;
  bool IsDue = false;
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    if (!Parts[Index].RetryAt)
      continue;
    IsDue = IsDue || Now >= *Parts[Index].RetryAt;
    const spare_retries Spare =
        Context.Budgets.budget(Parts[Index].Service).spare(Now);
    Due.push_back({Index, Spare.Steps, runShare(Parts[Index], Now)});
  }
  if (!IsDue)
    return;
  // So that the budgets of all services last equally long.
  std::stable_sort(Due.begin(), Due.end(),
                   [](const due_retry &Left, const due_retry &Right) {
                     return Left.SpareSteps > Right.SpareSteps;
                   });
  for (const due_retry &Each : Due)
    Parts[Each.Index].RetryAt.reset();
  const std::size_t Needed = neededRetries();
  std::vector<double> Shares;
  double SpareSteps = 0;
  for (const due_retry &Each : Due) {
    Shares.push_back(Each.RunShare);
    SpareSteps += Each.SpareSteps / static_cast<double>(Due.size());
  }
  const double Price = MaxPrice * std::exp(-SpareSteps);
  // A part that may be missing is worth little.
  const bool IsWorthwhile =
      Needed == 0
          ? Price < MaxPriceOfSparePart
          : Needed <= Due.size() && retryValue(Shares, Needed, Price) > 0;
  if (!IsWorthwhile) {
    for (const due_retry &Each : Due)
      Context.Budgets.budget(Parts[Each.Index].Service).recordForgoneRetry(Now);
    return;
  }
  // Fewer can't decide on the success of the query, so as many are sent at
  // once; the others wait for what becomes of these.
  const bool HasTime =
      Now + RetryDecisionDelay * Needed + 2 * Context.Latencies.median() <
      Settings.EarlyAt;
  const bool IsLikely =
      Needed == 0 || internal::successProbability(
                         Shares, Due.size() - Needed) >= LikelySuccess;
  const std::size_t Batch = !IsLikely && HasTime
                                ? std::min(Needed, Due.size() - Needed + 1)
                                : Due.size();
  for (std::size_t Number = 0; Number < Due.size(); ++Number) {
    const std::size_t Index = Due[Number].Index;
    if (Number < Batch)
      sendExtra(Index, false, Now, Actions);
    else
      Parts[Index].RetryAt = Now + RetryDecisionDelay;
  }
}

} // namespace tarragon::placement
