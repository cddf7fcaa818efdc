#include "entry/membershiprunner.h"

#include "global/hash.h"
#include "transport/workerpool.h"

#include <algorithm>

namespace tarragon::entry {

namespace {

/// Interval between pings to the seeds while no other instance is known.
constexpr milliseconds SeedPingPeriod{500};

auto now() -> time_point { return std::chrono::steady_clock::now(); }

auto tableSettings(const entry_settings &Settings)
    -> membership::membership_settings {
  membership::membership_settings Table;
  Table.ProbePeriod = Settings.ProbePeriod;
  Table.ProbeTimeout = Settings.ProbePeriod * 3 / 4;
  Table.SuspicionTime = Settings.SuspicionTime;
  return Table;
}

} // namespace

membership_runner::membership_runner(const entry_settings &Settings,
                                     transport::worker_pool &Pool,
                                     handlers Handlers)
    : Pool(Pool), Handlers(std::move(Handlers)), Self(Settings.Self),
      Seeds(Settings.Seeds),
      Table(Settings.Self, tableSettings(Settings),
            hash64(Settings.Self.Id, Settings.Self.Incarnation), now()) {}

auto membership_runner::start() -> void {
  publishChanges();
  scheduleWake();
  pingSeeds();
}

auto membership_runner::pingSeeds() -> void {
  if (members().size() > 1)
    return;
  for (const address &Seed : Seeds) {
    instance To;
    To.PeerAddress = Seed;
    membership::gossip_message Ping;
    Ping.From = Self;
    Handlers.Send(To, std::move(Ping));
  }
  if (!Seeds.empty())
    Pool.postAt(now() + SeedPingPeriod, [this] { pingSeeds(); });
}

auto membership_runner::onMessage(const membership::gossip_message &Message)
    -> void {
  messages Out;
  {
    const std::lock_guard Lock(Mutex);
    announced_config &Last = Announced[Message.From.Id];
    // An instance that has received its first configuration can own groups.
    if (Last.Version == 0 && Message.Config > 0)
      OwnersStale = true;
    Last = {Message.Config, now()};
    Out = Table.onMessage(Message, now());
  }
  send(std::move(Out));
  publishChanges();
}

auto membership_runner::adoptInstanceList(const std::vector<instance> &List)
    -> void {
  {
    const std::lock_guard Lock(Mutex);
    Table.adoptInstanceList(List, now());
  }
  publishChanges();
}

auto membership_runner::setConfig(const config_version Version) -> void {
  const std::lock_guard Lock(Mutex);
  Config = Version;
  Table.setConfig(Version);
}

auto membership_runner::leave() -> void {
  messages Out;
  {
    const std::lock_guard Lock(Mutex);
    Out = Table.leave(now());
  }
  send(std::move(Out));
  publishChanges();
}

auto membership_runner::members() const -> std::vector<instance> {
  const std::lock_guard Lock(Mutex);
  return Table.members();
}

auto membership_runner::find(const instance_id &Id) const
    -> std::optional<instance> {
  for (instance &Member : members())
    if (Member.Id == Id)
      return std::move(Member);
  return std::nullopt;
}

auto membership_runner::announcedConfigs() const
    -> std::map<instance_id, announced_config> {
  const std::lock_guard Lock(Mutex);
  return Announced;
}

auto membership_runner::reachesPeers() const -> bool {
  const std::lock_guard Lock(Mutex);
  return Table.reachesPeers(now());
}

auto membership_runner::send(messages Messages) -> void {
  for (membership::outgoing_gossip &Outgoing : Messages)
    Handlers.Send(Outgoing.To, std::move(Outgoing.Message));
}

auto membership_runner::publishChanges() -> void {
  std::vector<instance> Members;
  std::optional<std::pair<instance, config_version>> Newest;
  bool Changed = false;
  {
    const std::lock_guard Lock(Mutex);
    if (Table.revision() == PublishedRevision && !OwnersStale)
      return;
    PublishedRevision = Table.revision();
    Members = Table.members();
    Changed = OwnersStale || Members != LastMembers;
    OwnersStale = false;
    LastMembers = Members;
    Newest = Table.newestConfig();
    if (Newest && Newest->second <= Config)
      Newest.reset();
  }
  if (Changed)
    Handlers.OnChanged(Members);
  if (Newest)
    Handlers.OnNewerConfig(Newest->first, Newest->second);
}

auto membership_runner::scheduleWake() -> void {
  time_point WakeAt;
  {
    const std::lock_guard Lock(Mutex);
    WakeAt = Table.nextWake();
  }
  Pool.postAt(WakeAt, [this] { onWake(); });
}

auto membership_runner::onWake() -> void {
  messages Out;
  {
    const std::lock_guard Lock(Mutex);
    Out = Table.onTimer(now());
  }
  send(std::move(Out));
  publishChanges();
  scheduleWake();
}

} // namespace tarragon::entry
