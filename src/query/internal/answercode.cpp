#include "query/internal/answercode.h"

#include <algorithm>

namespace tarragon::query {

namespace {

auto anyFailedWith(const part_set &Parts, const attempt_outcome Reason)
    -> bool {
  return std::any_of(
      Parts.all().begin(), Parts.all().end(), [Reason](const query_part &Part) {
        return Part.State == part_state::Failed && Part.Reason == Reason;
      });
}

auto notRunCode(const part_set &Parts) -> answer_code {
  if (anyFailedWith(Parts, attempt_outcome::Expired))
    return {result_code::NotRunDeadline,
            "the deadline passed before the request was sent to a target"};
  if (anyFailedWith(Parts, attempt_outcome::NotRun))
    return {result_code::NotRunOverload,
            "the dispatch queue is too long to meet the deadline"};
  if (anyFailedWith(Parts, attempt_outcome::Shed) ||
      anyFailedWith(Parts, attempt_outcome::WrongVersion))
    return {result_code::NotRunShed,
            "every target rejected the request before running it"};
  return {result_code::NotRunNoTarget, "no target could be reached"};
}

/// Returns whether it is unknown if the part took effect: it has neither an
/// answer nor an error from the target, and isn't proven not run.
auto inDoubt(const query_part &Part) -> bool {
  if (Part.State == part_state::Answered)
    return false;
  if (Part.State == part_state::Failed &&
      Part.Reason == attempt_outcome::Refused)
    return false;
  return Part.State == part_state::Pending || Part.MayHaveRun;
}

auto noAnswerCode(const part_set &Parts) -> answer_code {
  const bool AnyTargetFailed = anyFailedWith(Parts, attempt_outcome::Refused) ||
                               anyFailedWith(Parts, attempt_outcome::Crashed) ||
                               anyFailedWith(Parts, attempt_outcome::Corrupt);
  if (AnyTargetFailed)
    return {result_code::Failed, "no shard returned a valid answer"};
  return {result_code::OutcomeUnknown, "no shard answered in time"};
}

} // namespace

auto decideCode(const contract &Contract, const part_set &Parts,
                const coverage &Coverage, const bool EarlierRoundMayHaveRun)
    -> answer_code {
  if (Coverage.complete())
    return {result_code::Ok, ""};
  if (!EarlierRoundMayHaveRun && !Parts.mayHaveRun())
    return notRunCode(Parts);
  if (!Contract.Repeatable) {
    if (std::any_of(Parts.all().begin(), Parts.all().end(), inDoubt))
      return {result_code::OutcomeUnknown, "a target may have run the request"};
    if (anyFailedWith(Parts, attempt_outcome::Refused))
      return {result_code::Failed,
              "a target ran the request and returned an error"};
  }
  if (Contract.Shortfall == shortfall_policy::Refuse &&
      Coverage.share() < Contract.MinCoverage)
    return {
        result_code::CoverageBelowLeast,
        "fewer shards answered than the contract's minimum coverage requires"};
  if (Coverage.Answered == 0)
    return noAnswerCode(Parts);
  return {result_code::Partial, "some shards did not answer"};
}

} // namespace tarragon::query
