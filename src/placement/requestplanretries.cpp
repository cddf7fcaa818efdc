// The part of a request plan that spends the retry budget.
#include "placement/internal/partsprobability.h"
#include "placement/internal/retrycosts.h"
#include "placement/latencymodel.h"
#include "placement/requestplan.h"
#include "placement/retrybudgettable.h"
#include "placement/targetset.h"

#include <algorithm>

namespace tarragon::placement {

namespace {

using internal::AmpleRetryShare;
using internal::LostPartCost;

/// The time in which targets that shed a part of a query have said so.
constexpr milliseconds RetryDecisionDelay{10};
/// The chance of success that one retry must buy when the budget is nearly used
/// up. It falls to none where the budget is ample, so that the spending settles
/// where the most worthwhile retries use up what is left.
constexpr double MaxPrice = 0.5;

} // namespace

auto request_plan::retry(const std::size_t Index, const time_point Now,
                         plan_actions &Actions) -> void {
  part &Part = Parts[Index];
  const bool IsAmple =
      Context.Budgets.budget(Part.Service)
          .remainingShare(extra_purpose::Retry, Now) >= AmpleRetryShare;
  if (IsAmple || Parts.size() == 1)
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
  return Target ? 1 - Context.Targets.health(Target->Id)
                          .report(Median, Now)
                          .Refusals
                : 0;
}

auto request_plan::decideRetries(const time_point Now, plan_actions &Actions)
    -> void {
  std::vector<std::pair<double, std::size_t>> Due;
  bool IsDue = false;
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    if (!Parts[Index].RetryAt)
      continue;
    IsDue = IsDue || Now >= *Parts[Index].RetryAt;
    Due.emplace_back(runShare(Parts[Index], Now), Index);
  }
  if (!IsDue)
    return;
  std::sort(Due.rbegin(), Due.rend());
  for (const auto &[Share, Index] : Due)
    Parts[Index].RetryAt.reset();
  const std::size_t Needed = neededRetries();
  if (Needed > Due.size())
    return forgo(Due, Now);
  std::vector<double> Shares;
  double BudgetLeft = 1;
  for (const auto &[Share, Index] : Due) {
    Shares.push_back(Share);
    BudgetLeft =
        std::min(BudgetLeft, Context.Budgets.budget(Parts[Index].Service)
                                 .remainingShare(extra_purpose::Retry, Now));
  }
  const double Scarcity = 1 - std::min(1.0, BudgetLeft / AmpleRetryShare);
  // A part that may be missing is worth little.
  if (Needed == 0 && Scarcity > 0.5)
    return forgo(Due, Now);
  const double Price = MaxPrice * Scarcity * Scarcity;
  const double Probability =
      internal::successProbability(Shares, Due.size() - Needed);
  if (Needed > 0 && Probability < Price * static_cast<double>(Due.size()))
    return forgo(Due, Now);
  for (const auto &[Share, Index] : Due)
    sendExtra(Index, false, Now, Actions);
}

auto request_plan::forgo(const std::vector<std::pair<double, std::size_t>> &Due,
                         const time_point Now) -> void {
  for (const auto &[Share, Index] : Due)
    Context.Budgets.budget(Parts[Index].Service).recordForgoneRetry(Now);
}

} // namespace tarragon::placement
