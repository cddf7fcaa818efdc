#include "membership/membertable.h"

#include <algorithm>
#include <cmath>

namespace tarragon::membership {

namespace {

/// An update is piggybacked this many times the natural logarithm of the number
/// of members.
constexpr double SendsPerLog = 3.0;

/// Maximum number of members that are notified directly when this instance
/// leaves.
constexpr std::size_t MaxLeaveMessages = 16;

/// Keeps the random first sequence number far below the overflow.
constexpr int SequenceShift = 32;

auto sendLimit(const std::size_t Members) -> std::size_t {
  const double Log = std::log(static_cast<double>(Members) + 2.0);
  return static_cast<std::size_t>(std::ceil(SendsPerLog * Log));
}

} // namespace

member_table::member_table(instance Self, const membership_settings Settings,
                           const std::uint64_t Seed, const time_point Now)
    : Self(std::move(Self)), Settings(Settings), Random(Seed) {
  // Instances that start together must not probe at the same times.
  std::uniform_int_distribution<milliseconds::rep> Delay(
      0, Settings.ProbePeriod.count());
  NextPeriod = Now + milliseconds(Delay(Random));
  // Acks to an earlier incarnation must not match a probe of this one.
  NextSequence = Random() >> SequenceShift;
}

auto member_table::adoptInstanceList(const std::vector<instance> &List,
                                     time_point) -> void {
  Registry.setListed(List, Self.Id);
}

auto member_table::setConfig(const config_version Version) -> void {
  Config = Version;
}

auto member_table::onMessage(const gossip_message &Message,
                             const time_point Now) -> messages {
  messages Out;
  const instance &From = Message.From;
  if (From.Id.empty())
    return Out;
  if (From.Id == Self.Id) {
    applyOwn({From, Message.Refutation, false});
    return Out;
  }
  const member_record *Before = Registry.find(From.Id);
  const bool Outdated =
      Before != nullptr && Before->Instance.Incarnation > From.Incarnation;
  applyUpdate({From, Message.Refutation, From.State == instance_state::Leaving},
              Now);
  if (!Outdated)
    Registry.setConfig(From.Id, Message.Config);
  for (const member_update &Update : Message.Updates)
    applyUpdate(Update, Now);
  applyRows(Message.Rows, Now);
  switch (Message.Kind) {
  case gossip_kind::Ping:
    onPing(Message, Out);
    break;
  case gossip_kind::Ack:
    if (!Outdated)
      onAck(Message, Now, Out);
    break;
  case gossip_kind::PingRequest:
    onPingRequest(Message, Now, Out);
    break;
  }
  return Out;
}

auto member_table::onTimer(const time_point Now) -> messages {
  messages Out;
  if (Now > nextWake() + Settings.ProbeTimeout)
    resetAfterPause(Now);
  runProbeDeadlines(Now, Out);
  for (const instance_id &Id : Registry.expire(Settings.ForgetDeadAfter, Now))
    Queue.push(Id);
  if (Now < NextPeriod)
    return Out;
  startProbes(Now, Out);
  NextPeriod = std::max(NextPeriod, Now) + Settings.ProbePeriod;
  return Out;
}

auto member_table::nextWake() const -> time_point {
  time_point Wake = NextPeriod;
  for (const auto &[Sequence, Probe] : Probes)
    Wake = std::min(Wake, Probe.Deadline);
  if (const auto Deadline = Registry.nextDeadline())
    Wake = std::min(Wake, *Deadline);
  return Wake;
}

auto member_table::leave(time_point) -> messages {
  messages Out;
  Leaving = true;
  ++OwnRevision;
  Queue.push(Self.Id);
  const auto Recipients =
      Round.sample(Registry.records(), MaxLeaveMessages, Self.Id, Random);
  for (const instance_id &Id : Recipients) {
    const instance &To = Registry.find(Id)->Instance;
    Out.push_back({To, compose(gossip_kind::Ping, NextSequence++, To)});
  }
  return Out;
}

auto member_table::members() const -> std::vector<instance> {
  std::vector<instance> All;
  All.reserve(Registry.records().size() + 1);
  bool SelfAdded = false;
  for (const auto &[Id, Record] : Registry.records()) {
    if (!SelfAdded && Self.Id < Id) {
      All.push_back(self());
      SelfAdded = true;
    }
    All.push_back(Record.visible());
  }
  if (!SelfAdded)
    All.push_back(self());
  return All;
}

auto member_table::newestConfig() const
    -> std::optional<std::pair<instance, config_version>> {
  const member_record *Newest = Registry.newestConfig();
  if (Newest == nullptr)
    return std::nullopt;
  return std::pair(Newest->visible(), Newest->Config);
}

auto member_table::reachesPeers(const time_point Now) const -> bool {
  return LastAck && Now - *LastAck <= suspicionTime();
}

auto member_table::self() const -> instance {
  instance Own = Self;
  Own.State = Leaving ? instance_state::Leaving : instance_state::Live;
  return Own;
}

auto member_table::ownUpdate() const -> member_update {
  return {self(), Refutation, Leaving};
}

auto member_table::compose(const gossip_kind Kind, const std::uint64_t Sequence,
                           const instance &To) -> gossip_message {
  gossip_message Message;
  Message.Kind = Kind;
  Message.Sequence = Sequence;
  Message.From = self();
  Message.Refutation = Refutation;
  Message.Config = Config;
  Message.Digest = digest();
  addReceiverRecord(To, Message.Updates);
  const std::size_t FreeSlots =
      Settings.UpdatesPerMessage -
      std::min(Settings.UpdatesPerMessage, Message.Updates.size());
  const std::size_t Limit = sendLimit(Registry.records().size());
  for (const instance_id &Id : Queue.pop(FreeSlots, Limit)) {
    const member_record *Record = Registry.find(Id);
    if (Id == Self.Id)
      Message.Updates.push_back(ownUpdate());
    else if (Record != nullptr && Id != To.Id)
      Message.Updates.push_back(Record->update());
  }
  return Message;
}

auto member_table::addReceiverRecord(const instance &To,
                                     std::vector<member_update> &Updates)
    -> void {
  const member_record *Record = Registry.find(To.Id);
  if (Record == nullptr)
    return;
  // Only the receiver can refute its suspicion, and an earlier incarnation has
  // to be informed that it was replaced.
  if (Record->Instance.State != instance_state::Live ||
      Record->Instance.Incarnation > To.Incarnation)
    Updates.push_back(Record->update());
}

auto member_table::addRows(std::vector<member_update> &Rows) -> void {
  const auto &Records = Registry.records();
  const std::size_t Count =
      std::min(Settings.UpdatesPerMessage, Records.size());
  for (std::size_t Row = 0; Row < Count; ++Row) {
    auto Next = Records.upper_bound(LastRow);
    if (Next == Records.end())
      Next = Records.begin();
    LastRow = Next->first;
    Rows.push_back(Next->second.update());
  }
}

auto member_table::rows() const -> std::vector<member_update> {
  std::vector<member_update> Rows{ownUpdate()};
  for (const auto &[Id, Record] : Registry.records())
    Rows.push_back(Record.update());
  return Rows;
}

auto member_table::digest() const -> std::uint64_t {
  return Registry.digest() ^ memberDigest(Self, Leaving);
}

auto member_table::applyUpdate(const member_update &Update,
                               const time_point Now) -> void {
  if (Update.Instance.Id == Self.Id) {
    applyOwn(Update);
    return;
  }
  if (applyOther(Update, Now) != member_registry::change::None)
    Queue.push(Update.Instance.Id);
}

auto member_table::applyRows(const std::vector<member_update> &Rows,
                             const time_point Now) -> void {
  for (const member_update &Row : Rows) {
    if (Row.Instance.Id == Self.Id)
      applyOwn(Row);
    // A record that is new to this table only isn't an update to disseminate.
    else if (applyOther(Row, Now) == member_registry::change::Changed)
      Queue.push(Row.Instance.Id);
  }
}

auto member_table::applyOther(const member_update &Update, const time_point Now)
    -> member_registry::change {
  const auto Change =
      Registry.apply(Update, suspicionTime(), Settings.ForgetDeadAfter, Now);
  if (Change == member_registry::change::Added)
    Round.insert(Update.Instance.Id, Random);
  return Change;
}

auto member_table::applyOwn(const member_update &Update) -> void {
  const instance &Reported = Update.Instance;
  Replaced = Replaced || Reported.Incarnation > Self.Incarnation;
  if (Reported.Incarnation != Self.Incarnation)
    return;
  const bool Suspected = Reported.State == instance_state::Suspect ||
                         Reported.State == instance_state::Dead;
  if (!Suspected || Update.Refutation < Refutation)
    return;
  Refutation = Update.Refutation + 1;
  Queue.push(Self.Id);
}

auto member_table::onPing(const gossip_message &Message, messages &Out)
    -> void {
  gossip_message Answer =
      compose(gossip_kind::Ack, Message.Sequence, Message.From);
  if (Message.Digest != 0 && Message.Digest != Answer.Digest)
    addRows(Answer.Rows);
  Out.push_back({Message.From, std::move(Answer)});
}

auto member_table::suspicionTime() const -> milliseconds {
  const double Log =
      std::log10(static_cast<double>(Registry.records().size()) + 2.0);
  const double Factor = std::max(1.0, Log);
  return milliseconds(static_cast<milliseconds::rep>(
      static_cast<double>(Settings.SuspicionTime.count()) * Factor));
}

} // namespace tarragon::membership
