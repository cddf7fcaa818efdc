#include "queueingmodel.h"

#include <algorithm>
#include <cmath>

namespace tarragon::admission {

namespace {

constexpr double Sigma = 0.6;
constexpr int TargetsPerGroup = 3;

auto groupOf(const int Group) -> replica_group {
  replica_group Replicas{.Id = "petals/" + std::to_string(Group)};
  for (int Target = 0; Target < TargetsPerGroup; ++Target) {
    const std::string Letter(1, static_cast<char>('a' + Target));
    Replicas.Targets.push_back(
        {Letter + std::to_string(Group), "127.0.0.1:1", Letter});
  }
  return Replicas;
}

} // namespace

queueing_model::queueing_model(const queueing_plan &Plan)
    : Plan(Plan), Random(Plan.Seed),
      Service(std::log(Plan.MeanService.count()) - Sigma * Sigma / 2, Sigma),
      Gap(Plan.Load * TargetsPerGroup * Plan.Slots /
          static_cast<double>(Plan.MeanService.count())) {
  service ServiceSpec{
      .Id = "petals",
      .Limits = {.Slots = Plan.Slots, .Connections = Plan.Connections}};
  const int PerGroup = Plan.Owned ? 1 : Plan.Instances;
  for (int Group = 0; Group < Plan.Groups; ++Group)
    for (int Index = 0; Index < PerGroup; ++Index) {
      const int Instance = Plan.Owned ? Group % Plan.Instances : Index;
      const dispatcher_settings Settings{
          .Instance = "e" + std::to_string(Instance),
          .Domain = std::string(1, static_cast<char>('a' + Instance % 3)),
          .Seed = Plan.Seed};
      Dispatchers.push_back(std::make_unique<group_dispatcher>(
          ServiceSpec, groupOf(Group), Settings,
          Plan.Owned ? dispatcher_role::Owner : dispatcher_role::NonOwner));
    }
  Wakes.resize(Dispatchers.size());
}

auto queueing_model::at(const time_point Moment, std::function<void()> Run)
    -> void {
  Events.push({Moment, ++Order, std::move(Run)});
}

auto queueing_model::run() -> queueing_figures {
  startQuery();
  const time_point Start = Now;
  time_point LastStartedAt = Now;
  while (!Events.empty()) {
    const event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Run();
    if (StartedQueries < Plan.Queries)
      LastStartedAt = Now;
  }
  std::sort(Latencies.begin(), Latencies.end());
  const auto Quantile = [&](const double Share) {
    const auto Rank = static_cast<std::size_t>(
        Share * static_cast<double>(Latencies.size() - 1));
    return Latencies.empty()
               ? milliseconds{0}
               : std::chrono::round<milliseconds>(Latencies[Rank]);
  };
  const double Seconds =
      std::chrono::duration<double>(LastStartedAt - Start).count();
  const double Capacity = 1e6 * Plan.Groups * TargetsPerGroup * Plan.Slots /
                          static_cast<double>(Plan.MeanService.count());
  return {.Median = Quantile(0.5),
          .Tail = Quantile(0.99),
          .CompleteShare = static_cast<double>(Latencies.size()) / Plan.Queries,
          .Goodput = Answers / Seconds / Capacity,
          .RefusedShare = Sheds / Attempts,
          .ExtraShare = (Attempts - StartedSubrequests) / StartedSubrequests,
          .SlowShare = AttemptsToFirst / Attempts};
}

auto queueing_model::startQuery() -> void {
  const auto Number = static_cast<std::uint64_t>(++StartedQueries);
  const int Coordinator = static_cast<int>(Random() % Plan.Instances);
  Queries[Number] = {Now, Plan.Groups, true};
  for (int Group = 0; Group < Plan.Groups; ++Group) {
    subrequest Request{.Id = {Number, static_cast<std::uint32_t>(Group), 0},
                       .Coordinator = "e" + std::to_string(Coordinator),
                       .Contract = "search",
                       .Version = 1,
                       .Deadline = Now + Plan.Deadline,
                       .HedgeBudget = Plan.HedgeBudget};
    const bool Remote = Plan.Owned && Group % Plan.Instances != Coordinator;
    const int Dispatcher =
        Plan.Owned ? Group : Group * Plan.Instances + Coordinator;
    at(Now + (Remote ? Plan.Hop : microseconds{0}),
       [this, Dispatcher, Request] { submit(Dispatcher, Request); });
  }
  if (StartedQueries < Plan.Queries)
    at(Now + microseconds{static_cast<int>(Gap(Random))},
       [this] { startQuery(); });
}

auto queueing_model::submit(const int Dispatcher, subrequest Request) -> void {
  apply(Dispatcher, Dispatchers[Dispatcher]->submit(std::move(Request), Now));
}

auto queueing_model::apply(const int Dispatcher, dispatch_actions Actions)
    -> void {
  for (const dispatch_action &Action : Actions) {
    if (const auto *Start = std::get_if<start_attempt>(&Action)) {
      ++Attempts;
      AttemptsToFirst += Start->Target.Domain == "a" ? 1 : 0;
      at(Now + Plan.Wire,
         [this, Dispatcher, Start = *Start] { begin(Dispatcher, Start); });
    } else if (const auto *Cancel = std::get_if<cancel_attempt>(&Action)) {
      at(Now + Plan.Wire, [this, Dispatcher, Cancel = *Cancel] {
        finish(Dispatcher, Cancel.Target.Id, Cancel.Attempt,
               attempt_outcome::Expired);
      });
    } else if (const auto *Settle = std::get_if<settle_subrequest>(&Action)) {
      const bool Remote =
          Plan.Owned && Settle->Coordinator !=
                            "e" + std::to_string(Dispatcher % Plan.Instances);
      at(Now + (Remote ? Plan.Hop : microseconds{0}),
         [this, Settled = Settle->Settlement] { settle(Settled); });
    }
  }
  const auto Wake = Dispatchers[Dispatcher]->nextWake();
  if (!Wake || (Wakes[Dispatcher] > Now && Wakes[Dispatcher] <= *Wake))
    return;
  Wakes[Dispatcher] = std::max(*Wake, Now + microseconds{1});
  at(Wakes[Dispatcher], [this, Dispatcher] {
    apply(Dispatcher, Dispatchers[Dispatcher]->onTimer(Now));
  });
}

auto queueing_model::begin(const int Dispatcher, const start_attempt &Start)
    -> void {
  model_target &Target = Targets[Start.Target.Id];
  if (Target.Busy >= Plan.Slots) {
    ++Sheds;
    at(Now + Plan.Wire, [this, Dispatcher, Id = Start.Attempt] {
      apply(Dispatcher,
            Dispatchers[Dispatcher]->onAttemptDone(
                {.Attempt = Id, .Outcome = attempt_outcome::Shed}, Now));
    });
    return;
  }
  ++Target.Busy;
  Target.Running[Start.Attempt] = Dispatcher;
  const double Factor = Start.Target.Domain == "a" ? Plan.SlowFactor : 1;
  const microseconds Duration{static_cast<int>(Service(Random) * Factor)};
  at(Now + Duration,
     [this, Dispatcher, Id = Start.Attempt, TargetId = Start.Target.Id] {
       finish(Dispatcher, TargetId, Id, attempt_outcome::Answered);
     });
}

auto queueing_model::finish(const int Dispatcher, const target_id &Target,
                            const attempt_id &Id, const attempt_outcome Outcome)
    -> void {
  model_target &TargetModel = Targets[Target];
  if (TargetModel.Running.erase(Id) == 0)
    return;
  --TargetModel.Busy;
  at(Now + Plan.Wire, [this, Dispatcher, Id, Outcome] {
    apply(Dispatcher, Dispatchers[Dispatcher]->onAttemptDone(
                          {.Attempt = Id, .Outcome = Outcome}, Now));
  });
}

auto queueing_model::settle(const settlement &Settlement) -> void {
  StartedSubrequests += Settlement.Attempts > 0 ? 1 : 0;
  query &Query = Queries[Settlement.Id.Query];
  if (Settlement.Outcome != attempt_outcome::Answered)
    Query.Complete = false;
  else if (StartedQueries < Plan.Queries)
    ++Answers;
  if (--Query.OpenSubrequests > 0)
    return;
  if (Query.Complete)
    Latencies.push_back(
        std::chrono::duration_cast<microseconds>(Now - Query.StartedAt));
  Queries.erase(Settlement.Id.Query);
}

} // namespace tarragon::admission
