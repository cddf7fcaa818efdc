#include "entry/queryrunner.h"

#include "transport/workerpool.h"

namespace tarragon::entry {

namespace {

/// Incarnations are at least one millisecond apart, so that the numbers of one
/// would overlap with those of the next only above 1,000 queries a
/// millisecond.
constexpr std::uint64_t NumbersPerIncarnation = 1000;

auto now() -> time_point { return std::chrono::steady_clock::now(); }

} // namespace

query_runner::query_runner(instance_id Self, const incarnation Incarnation,
                           transport::worker_pool &Pool, handlers Handlers)
    : Self(std::move(Self)), Pool(Pool), Handlers(std::move(Handlers)),
      LastNumber(Incarnation * NumbersPerIncarnation) {}

auto query_runner::run(query_request Request,
                       std::shared_ptr<const deployment> Deployment,
                       const fingerprint Fingerprint, const bool Suspect,
                       completion Done) -> void {
  const auto Running = std::make_shared<running_query>();
  std::uint64_t Number = 0;
  {
    const std::lock_guard Lock(Mutex);
    Number = ++LastNumber;
    RunningQueries.emplace(Number, Running);
  }
  Running->Fingerprint = Fingerprint;
  Running->Done = std::move(Done);
  Running->Query = std::make_unique<query::scatter_query>(
      Number, Self, std::move(Request), std::move(Deployment), Fingerprint,
      Suspect);
  step(Number, Running, [this](query::scatter_query &Query) {
    const std::lock_guard Lock(VersionMutex);
    return Query.start(Versions, now());
  });
}

auto query_runner::settle(const settlement &Settlement) -> void {
  if (!Settlement.Held.empty()) {
    const std::lock_guard Lock(VersionMutex);
    Versions.recordHeld(Settlement.Target, Settlement.Held, now());
  }
  const std::uint64_t Number = Settlement.Id.Query;
  const query_pointer Running = find(Number);
  if (!Running)
    return;
  step(Number, Running, [&](query::scatter_query &Query) {
    const std::lock_guard Lock(VersionMutex);
    return Query.onSettlement(Settlement, Versions, now());
  });
}

auto query_runner::recordListedSnapshot(const std::string &Index,
                                        query::pinned_snapshot Snapshot)
    -> void {
  const std::lock_guard Lock(VersionMutex);
  Versions.recordHint(Index, std::move(Snapshot));
}

auto query_runner::removeTargets(const std::set<target_id> &Targets) -> void {
  const std::lock_guard Lock(VersionMutex);
  for (const target_id &Target : Targets)
    Versions.removeTarget(Target);
}

auto query_runner::expireVersions() -> void {
  const std::lock_guard Lock(VersionMutex);
  Versions.expire(now());
}

auto query_runner::snapshotFor(const deployment &Deployment,
                               const contract &Contract)
    -> std::optional<query::pinned_snapshot> {
  const std::lock_guard Lock(VersionMutex);
  return Versions.pin(Deployment, Contract);
}

auto query_runner::running() const -> std::size_t {
  const std::lock_guard Lock(Mutex);
  return RunningQueries.size();
}

auto query_runner::find(const std::uint64_t Number) const -> query_pointer {
  const std::lock_guard Lock(Mutex);
  const auto Found = RunningQueries.find(Number);
  return Found == RunningQueries.end() ? nullptr : Found->second;
}

template <class Event>
auto query_runner::step(const std::uint64_t Number,
                        const query_pointer &Running, Event &&Apply) -> void {
  query::query_actions Actions;
  {
    const std::lock_guard Lock(Running->Mutex);
    if (Running->Query->finished())
      return;
    Actions = Apply(*Running->Query);
  }
  perform(Number, Running, std::move(Actions));
  scheduleWake(Number, Running);
}

auto query_runner::perform(const std::uint64_t Number,
                           const query_pointer &Running,
                           query::query_actions Actions) -> void {
  for (query::query_action &Action : Actions) {
    if (auto *Send = std::get_if<query::send_subrequest>(&Action)) {
      Handlers.Send(std::move(Send->Request));
    } else if (const auto *Cancel =
                   std::get_if<query::cancel_subrequest>(&Action)) {
      Handlers.Cancel(*Cancel);
    } else if (auto *Finish = std::get_if<query::finish_query>(&Action)) {
      {
        const std::lock_guard Lock(Mutex);
        RunningQueries.erase(Number);
      }
      Running->Done(std::move(Finish->Answer));
    }
  }
}

auto query_runner::scheduleWake(const std::uint64_t Number,
                                const query_pointer &Running) -> void {
  time_point WakeAt;
  {
    const std::lock_guard Lock(Running->Mutex);
    const auto Next = Running->Query->nextWake();
    if (!Next || *Next >= Running->WakeAt)
      return;
    Running->WakeAt = *Next;
    WakeAt = *Next;
  }
  Pool.postAt(WakeAt, [this, Number, Running] {
    step(Number, Running, [&Running](query::scatter_query &Query) {
      Running->WakeAt = time_point::max();
      return Query.onTimer(now());
    });
  });
}

} // namespace tarragon::entry
