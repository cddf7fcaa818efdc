#include "entry/configrunner.h"

#include "config/configacceptance.h"
#include "global/backoff.h"
#include "global/hash.h"
#include "global/json.h"
#include "global/log.h"

#include <json/json.h>

#include <algorithm>

namespace tarragon::entry {

namespace {

constexpr char SnapshotPrefix[] = "snapshots/";
constexpr milliseconds InitialRetryDelay{50};
constexpr milliseconds MaxRetryDelay{1000};
/// The platform counts as reachable for this long after its last reply.
constexpr milliseconds ReachableWindow{5000};
/// Interval between reads of the instance list while it contains no other
/// instance.
constexpr milliseconds LoneListPeriod{200};
/// Added to the list period for each listed instance. It keeps the total read
/// rate of all instances within the platform's rate limit, which grows more
/// slowly than the fleet.
constexpr milliseconds ListPeriodPerInstance{5};

auto now() -> time_point { return std::chrono::steady_clock::now(); }

auto seedOf(const entry_settings &Settings) -> std::uint64_t {
  return hash64(Settings.Self.Id, Settings.Self.Incarnation);
}

auto readSnapshot(const std::string &Text)
    -> std::optional<query::pinned_snapshot> {
  const auto Value = parseJson(Text);
  if (!Value)
    return std::nullopt;
  try {
    query::pinned_snapshot Snapshot;
    Snapshot.Version = Value.value()["version"].asUInt64();
    const Json::Value &Shards = Value.value()["shards"];
    for (const std::string &Service : Shards.getMemberNames())
      Snapshot.ShardCounts[Service] = Shards[Service].asUInt64();
    return Snapshot;
  } catch (const Json::Exception &) {
    return std::nullopt;
  }
}

} // namespace

config_runner::config_runner(const entry_settings &Settings, handlers Handlers)
    : Settings(Settings), Handlers(std::move(Handlers)),
      Platform(Settings.Platform, {}, seedOf(Settings)) {}

config_runner::~config_runner() { stop(); }

auto config_runner::start() -> void {
  Watcher = std::thread([this] { watchHead(); });
  Poller = std::thread([this] { pollLists(); });
}

auto config_runner::stop() -> void {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Stopped.notify_all();
  Platform.interruptWatches();
  if (Watcher.joinable())
    Watcher.join();
  if (Poller.joinable())
    Poller.join();
}

auto config_runner::adopt(config::accepted_config Config) -> void {
  // Serializes adoptions from the platform and from peers; otherwise OnAdopted
  // could run last for the older configuration.
  const std::lock_guard OrderLock(AdoptMutex);
  const bool IsNew = Adoption.adopt(std::move(Config));
  const config::accepted_config Current = Adoption.inForce();
  publish();
  if (!IsNew)
    return;
  log::write(log::level::Info, log::part::Config, "configuration in force",
             {{"version", std::to_string(Current.Version)},
              {"operator", Current.Operator}});
  Handlers.OnAdopted(Current);
}

auto config_runner::publish() -> void {
  const auto &Refused = Adoption.refused();
  const std::lock_guard Lock(Mutex);
  InForce = Adoption.inForce();
  Newest = Adoption.newest();
  Refusal = Refused ? "version " + std::to_string(Refused->Config.Version) +
                          ": " + Refused->Fault.Detail
                    : std::string();
}

auto config_runner::inForce() const -> config::accepted_config {
  const std::lock_guard Lock(Mutex);
  return InForce;
}

auto config_runner::newest() const -> config::accepted_config {
  const std::lock_guard Lock(Mutex);
  return Newest;
}

auto config_runner::refusal() const -> std::string {
  const std::lock_guard Lock(Mutex);
  return Refusal;
}

auto config_runner::apply(const config::apply_request &Request)
    -> config::apply_outcome {
  config::acceptance_settings Acceptance;
  Acceptance.JitterSeed = hash64(Request.ChangeId, seedOf(Settings));
  config::config_acceptance<store::platform_client> Change(
      Acceptance, [this](const milliseconds Wait) { pause(Wait); });
  const auto Outcome = Change.apply(Platform, Request, inForce());
  if (Outcome.State == config::apply_state::Accepted) {
    loadConfig();
    // The instance that made the last change removes the contents that no
    // instance can need any more.
    if (const auto Removed = Change.removeObsoleteContents(Platform); !Removed)
      log::write(log::level::Debug, log::part::Config,
                 "failed to remove old configuration contents",
                 {{"reason", Removed.error().Detail}});
  }
  return Outcome;
}

auto config_runner::reachesPlatform() const -> bool {
  const time_point LastReply{time_point::duration{LastPlatformReply.load()}};
  return LastPlatformReply.load() != 0 && now() - LastReply < ReachableWindow;
}

auto config_runner::callCounts() const -> store::call_counts {
  return Platform.callCounts();
}

auto config_runner::watchHead() -> void {
  backoff Backoff(InitialRetryDelay, MaxRetryDelay, seedOf(Settings));
  std::uint64_t Revision = 0;
  bool ReloadNeeded = true;
  while (pause(milliseconds{0})) {
    if (ReloadNeeded && !loadConfig()) {
      pause(Backoff.next());
      continue;
    }
    ReloadNeeded = false;
    const auto Watched =
        Platform.watch("config/head", Revision, Settings.WatchWait);
    if (!Watched) {
      pause(Backoff.next());
      continue;
    }
    Backoff.reset();
    recordPlatformReply();
    Revision = Watched.value().Revision;
    ReloadNeeded = !Watched.value().Changed.empty();
  }
}

auto config_runner::loadConfig() -> bool {
  config::config_acceptance<store::platform_client> Reader(
      {}, [this](const milliseconds Wait) { pause(Wait); });
  auto Loaded = Reader.load(Platform);
  if (Loaded) {
    recordPlatformReply();
    adopt(std::move(Loaded.value()));
    return true;
  }
  const bool NoneAccepted = Loaded.error().Code == result_code::ObjectMissing;
  if (NoneAccepted)
    recordPlatformReply();
  else
    log::write(log::level::Warning, log::part::Platform,
               "failed to read the configuration",
               {{"reason", Loaded.error().Detail}});
  return NoneAccepted;
}

auto config_runner::pollLists() -> void {
  while (pause(milliseconds{0})) {
    const std::size_t Listed = readInstanceList();
    readSnapshots();
    const milliseconds Period =
        Settings.ListPeriod + Listed * ListPeriodPerInstance;
    pause(Listed > 1 ? Period : std::min(LoneListPeriod, Settings.ListPeriod));
  }
}

auto config_runner::readInstanceList() -> std::size_t {
  const auto Roster = Platform.instanceRoster();
  if (!Roster)
    return 0;
  recordPlatformReply();
  Handlers.OnInstances(Roster.value().Instances);
  std::set<target_id> Leaving;
  std::set<target_id> Live;
  for (const store::listed_target &Target : Roster.value().Targets)
    (Target.Leaving ? Leaving : Live).insert(Target.Id);
  Handlers.OnTargets(Leaving, Live);
  return Roster.value().Instances.size();
}

auto config_runner::readSnapshots() -> void {
  const auto Objects = Platform.list(SnapshotPrefix);
  if (!Objects)
    return;
  recordPlatformReply();
  for (const store::stored_object &Object : Objects.value())
    if (auto Snapshot = readSnapshot(Object.Value))
      Handlers.OnSnapshot(Object.Key.substr(sizeof SnapshotPrefix - 1),
                          std::move(*Snapshot));
}

auto config_runner::recordPlatformReply() -> void {
  LastPlatformReply = now().time_since_epoch().count();
}

auto config_runner::pause(const milliseconds Wait) -> bool {
  std::unique_lock Lock(Mutex);
  Stopped.wait_for(Lock, Wait, [this] { return Stopping; });
  return !Stopping;
}

} // namespace tarragon::entry
