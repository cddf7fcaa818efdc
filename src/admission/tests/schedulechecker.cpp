#include "schedulechecker.h"

#include <algorithm>
#include <iterator>

namespace tarragon::admission {

namespace {

constexpr int MaxInstances = 2;
constexpr milliseconds CancelGrace{1000};

auto makeService() -> service {
  return {.Id = "petals",
          .Limits = {.Slots = 3, .Connections = 8},
          .Groups = {{.Id = "petals/0",
                      .Targets = {{"t0", "127.0.0.1:1", "a"},
                                  {"t1", "127.0.0.1:2", "b"},
                                  {"t2", "127.0.0.1:3", "c"}}}}};
}

} // namespace

schedule_checker::schedule_checker()
    : Service(makeService()), Dispatcher(Service, Service.Groups[0],
                                         {.Instance = "e1",
                                          .Incarnation = 3,
                                          .Domain = "a",
                                          .MaxInstances = MaxInstances,
                                          .Seed = 5},
                                         Role) {}

auto schedule_checker::expect(const bool Holds, const char *Invariant) -> void {
  if (!Holds && Fault.empty())
    Fault = Invariant;
}

auto schedule_checker::runStep(const schedule_step &Step) -> void {
  advance(milliseconds{Step.DelayMs % 16});
  switch (Step.Kind % 8) {
  case 0:
  case 1:
  case 2:
    submit(Step);
    return;
  case 3:
  case 4:
  case 5:
    endAttempt(Step);
    return;
  case 6:
    injectEvent(Step);
    return;
  case 7:
    advance(milliseconds{Step.Choice});
    return;
  }
}

auto schedule_checker::finish() -> void {
  for (int Round = 0; Round < 100 && !Dispatcher.idle(); ++Round) {
    while (!InFlight.empty())
      endAttempt({.Detail = 0});
    advance(milliseconds{100});
  }
  expect(Dispatcher.idle(), "the dispatcher is idle at the end");
  expect(
      std::all_of(Submitted.begin(), Submitted.end(),
                  [](const submitted_request &Entry) { return Entry.Settled; }),
      "every subrequest is settled");
}

auto schedule_checker::advance(const milliseconds Delay) -> void {
  const time_point Until = Now + Delay;
  for (auto Wake = Dispatcher.nextWake(); Wake && *Wake <= Until;
       Wake = Dispatcher.nextWake()) {
    expect(*Wake >= Now, "no timer is due in the past");
    Now = std::max(Now, *Wake);
    check(Dispatcher.onTimer(Now));
    if (!Fault.empty())
      return;
  }
  Now = Until;
}

auto schedule_checker::submit(const schedule_step &Step) -> void {
  const bool Repeatable = Step.Detail % 4 != 0;
  const std::uint64_t Number = Submitted.size();
  const subrequest Request{.Id = {.Query = Number},
                           .Coordinator = "e2",
                           .Contract = Step.Choice % 3 == 0 ? "search" : "feed",
                           .Version = 7 + (Step.Choice % 16 == 0 ? 1U : 0U),
                           .ShardCount = 1,
                           .Fingerprint = Number % 8,
                           .Deadline = Now + milliseconds{5 + Step.Choice},
                           .Repeatable = Repeatable,
                           .Suspect = Step.Detail % 8 == 1,
                           .HedgeBudget = 0.01};
  Submitted.push_back({.Request = Request});
  check(Dispatcher.submit(Request, Now));
}

auto schedule_checker::endAttempt(const schedule_step &Step) -> void {
  if (InFlight.empty())
    return;
  constexpr attempt_outcome Outcomes[] = {
      attempt_outcome::Answered,    attempt_outcome::Answered,
      attempt_outcome::Answered,    attempt_outcome::Corrupt,
      attempt_outcome::Corrupt,     attempt_outcome::Corrupt,
      attempt_outcome::Shed,        attempt_outcome::NotSent,
      attempt_outcome::Crashed,     attempt_outcome::Refused,
      attempt_outcome::Expired,     attempt_outcome::Leaving,
      attempt_outcome::WrongVersion};
  const auto Ended =
      std::next(InFlight.begin(),
                Step.Choice % static_cast<std::ptrdiff_t>(InFlight.size()));
  const attempt_outcome Outcome = Outcomes[Step.Detail % std::size(Outcomes)];
  const attempt_result Result{.Attempt = Ended->first, .Outcome = Outcome};
  submitted_request &Record = Submitted[Ended->second.Request];
  --Record.OpenAttempts;
  Record.ProvenNotRun = Record.ProvenNotRun && provesNotRun(Outcome);
  Record.Crashed = Record.Crashed || Outcome == attempt_outcome::Crashed;
  if (Outcome == attempt_outcome::Leaving && !isAbandoned(Ended->second))
    Leaving[Ended->second.Target] = true;
  InFlight.erase(Ended);
  check(Dispatcher.onAttemptDone(Result, Now));
}

auto schedule_checker::injectEvent(const schedule_step &Step) -> void {
  const target_id Target = "t" + std::to_string(Step.Choice % 3);
  switch (Step.Detail % 4) {
  case 0:
    Leaving[Target] = true;
    check(Dispatcher.onTargetAnnouncement(Target, target_announcement::Leaving,
                                          Now));
    return;
  case 1:
    Leaving[Target] = false;
    check(Dispatcher.onTargetAnnouncement(Target, target_announcement::Returned,
                                          Now));
    return;
  case 2:
    Role = Step.Choice % 2 == 0 ? dispatcher_role::Owner
                                : dispatcher_role::NonOwner;
    check(Dispatcher.setRole(Role, Now));
    return;
  case 3:
    if (!Submitted.empty())
      check(Dispatcher.cancel({.Query = Step.Choice % Submitted.size()}, "e2",
                              Now));
    return;
  }
}

auto schedule_checker::isAbandoned(const sent_attempt &Attempt) const -> bool {
  return Attempt.Cancelled && Now >= Attempt.CancelledAt + CancelGrace;
}

auto schedule_checker::limit() const -> int {
  return Role == dispatcher_role::Owner ? 3 : 1;
}

auto schedule_checker::check(const dispatch_actions &Actions) -> void {
  for (const dispatch_action &Action : Actions)
    if (const auto *Start = std::get_if<start_attempt>(&Action))
      onStart(*Start);
    else if (const auto *Cancel = std::get_if<cancel_attempt>(&Action))
      onCancel(*Cancel);
    else if (const auto *Settle = std::get_if<settle_subrequest>(&Action))
      onSettle(Settle->Settlement);
}

auto schedule_checker::onStart(const start_attempt &Start) -> void {
  const std::size_t Number = Start.Request.Id.Query;
  submitted_request &Record = Submitted[Number];
  expect(!Record.Settled, "no attempt starts after the settlement");
  expect(Now < Record.Request.Deadline, "no attempt starts after the deadline");
  expect(!Record.Crashed, "no attempt starts after a crash");
  expect(!Leaving[Start.Target.Id], "no attempt starts at a draining target");
  if (!Record.Request.Repeatable || Start.Request.Suspect)
    expect(Record.OpenAttempts == 0, "one attempt in flight at a time");
  if (!Record.Request.Repeatable)
    expect(
        Record.ProvenNotRun,
        "a further attempt starts only if all earlier ones are proven not run");
  EarnedTokens += Record.SentAttempts == 0 ? Record.Request.HedgeBudget : 0;
  SpentTokens += Record.SentAttempts > 0 &&
                         (Record.OpenAttempts > 0 || !Record.ProvenNotRun)
                     ? 1
                     : 0;
  expect(SpentTokens <= EarnedTokens,
         "extra attempts stay within their budget");
  ++Record.SentAttempts;
  ++Record.OpenAttempts;
  const bool New =
      InFlight
          .emplace(Start.Attempt,
                   sent_attempt{
                       Start.Target.Id, Number, Start.Request.Suspect, {}, {}})
          .second;
  expect(New, "attempt ids are unique");
  int AtTarget = 0;
  int Suspects = 0;
  for (const auto &[Id, Attempt] : InFlight) {
    if (isAbandoned(Attempt))
      continue;
    AtTarget += Attempt.Target == Start.Target.Id ? 1 : 0;
    Suspects += Attempt.Suspect ? 1 : 0;
  }
  expect(AtTarget <= limit(),
         "attempts in flight at a target stay within its limit");
  if (Start.Request.Suspect)
    expect(Suspects <= 1, "one suspect in flight at a time");
}

auto schedule_checker::onCancel(const cancel_attempt &Cancel) -> void {
  const auto Found = InFlight.find(Cancel.Attempt);
  expect(Found != InFlight.end(), "only attempts in flight are cancelled");
  if (Found == InFlight.end())
    return;
  Found->second.Cancelled = true;
  Found->second.CancelledAt = Now;
}

auto schedule_checker::onSettle(const settlement &Settlement) -> void {
  submitted_request &Record = Submitted[Settlement.Id.Query];
  expect(!Record.Settled, "a subrequest is settled once");
  expect(Now <= Record.Request.Deadline,
         "a subrequest is settled by its deadline");
  expect(Settlement.ProvenNotRun ==
             (Record.ProvenNotRun && Record.OpenAttempts == 0),
         "the settlement states correctly whether it is proven not run");
  expect(Settlement.Attempts == static_cast<std::uint32_t>(Record.SentAttempts),
         "the settlement counts the attempts");
  expect(Settlement.CrashedTargets.empty() == !Record.Crashed,
         "the settlement lists the crashed targets");
  Record.Settled = true;
}

} // namespace tarragon::admission
