#include "query/internal/answercode.h"

#include <algorithm>

namespace tarragon::query {

namespace {

auto failedWith(const part_set &Parts, const attempt_outcome Reason) -> bool {
  return std::any_of(
      Parts.all().begin(), Parts.all().end(), [Reason](const query_part &Part) {
        return Part.State == part_state::Failed && Part.Reason == Reason;
      });
}

auto notRunCode(const part_set &Parts) -> answer_code {
  if (failedWith(Parts, attempt_outcome::Expired))
    return {result_code::NotRunDeadline, "the deadline passed before sending"};
  if (failedWith(Parts, attempt_outcome::NotRun))
    return {result_code::NotRunOverload, "the queue can't meet the deadline"};
  if (failedWith(Parts, attempt_outcome::Shed) ||
      failedWith(Parts, attempt_outcome::WrongVersion))
    return {result_code::NotRunShed, "every target refused the request"};
  return {result_code::NotRunNoTarget, "no target could be reached"};
}

/// Whether the part's effect is in doubt: neither answered, nor refused by the
/// target itself, nor proven not run.
auto inDoubt(const query_part &Part) -> bool {
  if (Part.State == part_state::Answered)
    return false;
  if (Part.State == part_state::Failed &&
      Part.Reason == attempt_outcome::Refused)
    return false;
  return Part.State == part_state::Pending || Part.MayHaveRun;
}

auto emptyCode(const part_set &Parts) -> answer_code {
  const bool SurelyFailed = failedWith(Parts, attempt_outcome::Refused) ||
                            failedWith(Parts, attempt_outcome::Crashed) ||
                            failedWith(Parts, attempt_outcome::Corrupt);
  if (SurelyFailed)
    return {result_code::Failed, "no shard gave a usable answer"};
  return {result_code::OutcomeUnknown, "no shard answered in time"};
}

} // namespace

auto decideCode(const contract &Contract, const part_set &Parts,
                const coverage &Coverage, const bool EarlierMayHaveRun)
    -> answer_code {
  if (Coverage.complete())
    return {result_code::Ok, ""};
  if (!EarlierMayHaveRun && !Parts.mayHaveRun())
    return notRunCode(Parts);
  if (!Contract.Repeatable) {
    if (std::any_of(Parts.all().begin(), Parts.all().end(), inDoubt))
      return {result_code::OutcomeUnknown, "a target may have run it"};
    if (failedWith(Parts, attempt_outcome::Refused))
      return {result_code::Failed, "a target ran it and failed"};
  }
  if (Contract.Shortfall == shortfall_policy::Refuse &&
      Coverage.share() < Contract.LeastCoverage)
    return {result_code::CoverageBelowLeast, "too few shards answered"};
  if (Coverage.Answered == 0)
    return emptyCode(Parts);
  return {result_code::Partial, "some shards are missing"};
}

} // namespace tarragon::query
