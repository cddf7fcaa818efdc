#include "query/scatterquery.h"

#include "query/internal/answercode.h"
#include "query/internal/answermerge.h"
#include "query/internal/queryplan.h"
#include "query/internal/settlementcheck.h"
#include "query/versiontable.h"

#include <algorithm>

namespace tarragon::query {

namespace {

/// A subrequest's deadline is earlier than the query's by this margin, which
/// leaves time for its answer to return.
constexpr milliseconds MaxReturnMargin{5};
constexpr int ReturnMarginDivisor = 20;

/// A query that pinned a likely snapshot waits this fraction of its deadline
/// for the targets' version reports before it restarts.
constexpr int VersionWaitDivisor = 4;

/// When a second target has crashed, the request itself is the likely cause.
constexpr std::size_t MaxCrashedTargetsForRetry = 1;

auto returnMargin(const milliseconds Deadline) -> milliseconds {
  return std::min(MaxReturnMargin, Deadline / ReturnMarginDivisor);
}

} // namespace

scatter_query::scatter_query(const std::uint64_t Number,
                             instance_id Coordinator, query_request Request,
                             std::shared_ptr<const deployment> Deployment,
                             const fingerprint Fingerprint, const bool Suspect)
    : Number(Number), Coordinator(std::move(Coordinator)),
      Request(std::move(Request)), Deployment(std::move(Deployment)),
      Contract(this->Deployment->findContract(this->Request.Contract)),
      Fingerprint(Fingerprint), Suspect(Suspect) {}

auto scatter_query::start(const version_table &Versions, const time_point Now)
    -> query_actions {
  if (Started || Finished)
    return {};
  Started = true;
  if (Contract == nullptr)
    return refuse(result_code::UnknownContract,
                  "the request names an unknown contract");
  if (Contract->Merge == merge_kind::ByKey && Request.Key.empty())
    return refuse(result_code::MalformedRequest,
                  "the contract requires a key, but the request has none");
  Deadline = Now + Contract->Deadline;
  SubrequestDeadline = Deadline - returnMargin(Contract->Deadline);
  EarlyAt = Now + Contract->EarlyAfter;
  if (Request.Continuation)
    return continueFromToken(Versions, Now);

  auto Pinned = Versions.pin(*Deployment, *Contract);
  if (!Pinned)
    return refuse(result_code::NoCommonSnapshot,
                  "a service of the contract is not deployed");
  RestartsLeft = Pinned->Likely ? 2 : 1;
  return beginRound(std::move(*Pinned), Now);
}

auto scatter_query::continueFromToken(const version_table &Versions,
                                      const time_point Now) -> query_actions {
  Token = parseToken(*Request.Continuation, *Contract, Request);
  if (!Token)
    return refuse(
        result_code::MalformedToken,
        "the continuation token is malformed or belongs to another query");
  const index_version Version = Token->Snapshot.Version;
  const auto Present = Versions.find(*Deployment, *Contract, Version);
  const bool Changed = Present && *Present != Token->Snapshot;
  if (Changed || Versions.isUnavailable(*Deployment, *Contract, Version))
    return refuse(result_code::SnapshotGone,
                  "the continuation token's snapshot is no longer available");
  return beginRound(Token->Snapshot, Now);
}

auto scatter_query::beginRound(pinned_snapshot Pinned, const time_point Now)
    -> query_actions {
  RoundStart = Now;
  VersionWaitEnd = Now + Contract->Deadline / VersionWaitDivisor;
  NextSnapshot.reset();
  std::uint32_t FirstTry = 0;
  for (const query_part &Part : Parts.all())
    FirstTry = std::max(FirstTry, Part.Try + 1);
  Snapshot = std::move(Pinned);
  Parts = part_set(
      planParts(*Deployment, *Contract, Request.Key, Snapshot, FirstTry));
  if (Parts.size() == 0)
    return refuse(result_code::NoCommonSnapshot,
                  "a service of the contract is not deployed");
  query_actions Actions;
  for (std::uint32_t Index = 0; Index < Parts.size(); ++Index)
    Actions.emplace_back(makeSend(Index));
  return Actions;
}

auto scatter_query::pageEnd() const -> std::size_t {
  if (Contract->Limit == 0)
    return 0;
  return (Token ? Token->Offset : 0) + Contract->Limit;
}

auto scatter_query::makeSend(const std::uint32_t Index) const
    -> send_subrequest {
  const query_part &Part = Parts[Index];
  subrequest Sub;
  Sub.Id = {Number, Index, Part.Try};
  Sub.Coordinator = Coordinator;
  Sub.Contract = Contract->Id;
  Sub.Service = Part.Service;
  Sub.Group = Part.Group;
  Sub.Version = Snapshot.Version;
  Sub.Shard = Part.Shard;
  Sub.ShardCount = Part.ShardCount;
  Sub.Limit = pageEnd();
  Sub.Body = Request.Body;
  Sub.Fingerprint = Fingerprint;
  Sub.Deadline = SubrequestDeadline;
  Sub.Repeatable = Contract->Repeatable;
  Sub.Suspect = Suspect || !CrashedTargets.empty();
  Sub.HedgeBudget = Contract->HedgeBudget;
  Sub.Account = Request.Account;
  Sub.Priority = Request.Priority;
  return {std::move(Sub)};
}

auto scatter_query::isCurrent(const subrequest_id &Id) const -> bool {
  if (Id.Query != Number || Id.Part >= Parts.size())
    return false;
  const query_part &Part = Parts[Id.Part];
  return Id.Try == Part.Try && Part.State == part_state::Pending;
}

auto scatter_query::onSettlement(const settlement &Settlement,
                                 const version_table &Versions,
                                 const time_point Now) -> query_actions {
  if (!Started || Finished || !isCurrent(Settlement.Id))
    return {};
  const std::uint32_t Index = Settlement.Id.Part;
  Attempts += Settlement.Attempts;
  const attempt_outcome Outcome =
      checkedOutcome(Settlement, Parts[Index], Snapshot.Version);
  if (Outcome == attempt_outcome::Answered)
    Parts.markAnswered(Index, Settlement.Items);
  else
    recordFailure(Settlement, Outcome);
  if (mayRetry(Parts[Index], Settlement, Now)) {
    Parts.retry(Index);
    return {makeSend(Index)};
  }
  if (auto Actions = restart(Versions, Now))
    return std::move(*Actions);
  return finishIfDue(Now);
}

auto scatter_query::recordFailure(const settlement &Settlement,
                                  const attempt_outcome Outcome) -> void {
  Parts.markFailed(Settlement.Id.Part, Outcome, isProvenNotRun(Settlement));
  CrashedTargets.insert(Settlement.CrashedTargets.begin(),
                        Settlement.CrashedTargets.end());
  if (Outcome == attempt_outcome::Crashed)
    CrashedTargets.insert(Settlement.Target);
}

auto scatter_query::mayRetry(const query_part &Part,
                             const settlement &Settlement,
                             const time_point Now) const -> bool {
  if (Part.State != part_state::Failed || Now >= SubrequestDeadline)
    return false;
  if (!Contract->Repeatable && Part.MayHaveRun)
    return false;
  if (Part.Reason == attempt_outcome::Crashed)
    return !Part.RetriedAfterCrash &&
           CrashedTargets.size() <= MaxCrashedTargetsForRetry;
  // Without a target, the dispatcher's instance was lost, not a target.
  return Part.Reason == attempt_outcome::NotSent && Settlement.Target.empty() &&
         !Part.RetriedAfterLoss;
}

auto scatter_query::mayRestart(const time_point Now) const -> bool {
  if (Token || RestartsLeft == 0 || !hasTimeForRound(Now))
    return false;
  return Parts.anyLacksVersion() &&
         (Contract->Repeatable || !Parts.mayHaveRun());
}

/// Returns whether enough time is left for a new round. A new round discards
/// the answers received, so it needs at least as much time as the present one
/// has taken.
auto scatter_query::hasTimeForRound(const time_point Now) const -> bool {
  if (Now >= SubrequestDeadline)
    return false;
  const bool NoneAnswered = Parts.counts().Answered == 0;
  return NoneAnswered || Now - RoundStart <= SubrequestDeadline - Now;
}

auto scatter_query::otherSnapshot(const version_table &Versions) const
    -> std::optional<pinned_snapshot> {
  auto Newest = Versions.pin(*Deployment, *Contract);
  if (Newest && *Newest != Snapshot && Newest->Version != 0)
    return Newest;
  return Versions.pin(*Deployment, *Contract, Snapshot.Version);
}

auto scatter_query::restart(const version_table &Versions, const time_point Now)
    -> std::optional<query_actions> {
  if (!mayRestart(Now))
    return std::nullopt;
  auto Other = otherSnapshot(Versions);
  if (!Other)
    return std::nullopt;
  // The pinned snapshot was only likely: the pending subrequests will report
  // more of the versions that targets hold.
  if (Snapshot.Likely && Parts.anyPending() && Now < VersionWaitEnd) {
    NextSnapshot = std::move(Other);
    return std::nullopt;
  }
  return restartAt(std::move(*Other), Now);
}

auto scatter_query::restartAt(pinned_snapshot Other, const time_point Now)
    -> query_actions {
  --RestartsLeft;
  EarlierRoundMayHaveRun = EarlierRoundMayHaveRun || Parts.mayHaveRun();
  query_actions Actions = cancelPending();
  query_actions Sends = beginRound(std::move(Other), Now);
  Actions.insert(Actions.end(), std::make_move_iterator(Sends.begin()),
                 std::make_move_iterator(Sends.end()));
  return Actions;
}

auto scatter_query::onTimer(const time_point Now) -> query_actions {
  if (!Started || Finished)
    return {};
  if (NextSnapshot && Now >= VersionWaitEnd) {
    if (mayRestart(Now))
      return restartAt(*NextSnapshot, Now);
    NextSnapshot.reset();
  }
  return finishIfDue(Now);
}

auto scatter_query::nextWake() const -> std::optional<time_point> {
  if (!Started || Finished)
    return std::nullopt;
  time_point Wake = Deadline;
  if (!EarlyAtPassed && mayAnswerEarly())
    Wake = std::min(Wake, EarlyAt);
  if (NextSnapshot)
    Wake = std::min(Wake, VersionWaitEnd);
  return Wake;
}

auto scatter_query::mayAnswerEarly() const -> bool {
  if (Contract->Wait != wait_policy::AnswerEarly || !Contract->Repeatable)
    return false;
  const coverage Coverage = Parts.counts();
  return Coverage.Answered > 0 &&
         Coverage.share() >= Contract->WantedCoverage &&
         Coverage.share() >= Contract->MinCoverage;
}

auto scatter_query::finishIfDue(const time_point Now) -> query_actions {
  EarlyAtPassed = EarlyAtPassed || Now >= EarlyAt;
  if (!Parts.anyPending() || Now >= Deadline ||
      (EarlyAtPassed && mayAnswerEarly()))
    return finish();
  return {};
}

auto scatter_query::cancelPending() const -> query_actions {
  query_actions Actions;
  for (std::uint32_t Index = 0; Index < Parts.size(); ++Index)
    if (Parts[Index].State == part_state::Pending)
      Actions.emplace_back(cancel_subrequest{{Number, Index, Parts[Index].Try},
                                             Parts[Index].Group});
  return Actions;
}

auto scatter_query::finish() -> query_actions {
  Finished = true;
  query_actions Actions = cancelPending();
  query_answer Answer;
  Answer.RequestId = Request.RequestId;
  Answer.Version = Snapshot.Version;
  Answer.Attempts = Attempts;
  Answer.Coverage = Parts.detailedCoverage();
  answer_code Decided = Token && Parts.allLackVersion()
                            ? answer_code{result_code::SnapshotGone,
                                          "the continuation token's snapshot "
                                          "is no longer available"}
                            : decideCode(*Contract, Parts, Answer.Coverage,
                                         EarlierRoundMayHaveRun);
  Answer.Code = Decided.Code;
  Answer.Detail = std::move(Decided.Detail);
  if (Answer.Code == result_code::Ok || Answer.Code == result_code::Partial)
    addPage(Answer);
  Actions.emplace_back(finish_query{std::move(Answer)});
  return Actions;
}

auto scatter_query::addPage(query_answer &Answer) -> void {
  const std::size_t Offset = Token ? Token->Offset : 0;
  merged_page Page = mergePage(Contract->Merge, Parts, Offset, Contract->Limit);
  Answer.Items = std::move(Page.Items);
  const std::size_t NextOffset = Offset + Contract->Limit;
  if (Page.More && Contract->Repeatable && NextOffset <= MaxOffset)
    Answer.Continuation =
        formatToken({Snapshot, NextOffset}, *Contract, Request);
}

auto scatter_query::refuse(const result_code Code, std::string Detail)
    -> query_actions {
  Finished = true;
  query_answer Answer;
  Answer.RequestId = Request.RequestId;
  Answer.Code = Code;
  Answer.Detail = std::move(Detail);
  Answer.Attempts = Attempts;
  return {finish_query{std::move(Answer)}};
}

} // namespace tarragon::query
