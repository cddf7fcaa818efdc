#include "membership/membertable.h"

#include <algorithm>
#include <cmath>

namespace tarragon::membership {

namespace {

/// How often news is sent along: this many times the logarithm of the size.
constexpr double SendingsPerLog = 3.0;

/// The most members told directly that this instance leaves.
constexpr std::size_t MostLeaveMessages = 16;

/// Leaves room for counting up from a random start.
constexpr int SequenceShift = 32;

auto sendingLimit(const std::size_t Members) -> std::size_t {
  const double Log = std::log(static_cast<double>(Members) + 2.0);
  return static_cast<std::size_t>(std::ceil(SendingsPerLog * Log));
}

} // namespace

member_table::member_table(instance Self, const membership_settings Settings,
                           const std::uint64_t Seed, const time_point Now)
    : Self(std::move(Self)), Settings(Settings), Random(Seed) {
  // Instances that start together must not probe in step.
  std::uniform_int_distribution<milliseconds::rep> Delay(
      0, Settings.ProbePeriod.count());
  NextPeriod = Now + milliseconds(Delay(Random));
  // Answers to an earlier life must match no probe of this one.
  NextSequence = Random() >> SequenceShift;
}

auto member_table::adoptInstanceList(const std::vector<instance> &List,
                                     time_point) -> void {
  Book.setListed(List, Self.Id);
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
    takeOwn({From, Message.Refutation, false});
    return Out;
  }
  const member_record *Before = Book.find(From.Id);
  const bool Outdated =
      Before != nullptr && Before->Instance.Incarnation > From.Incarnation;
  take({From, Message.Refutation, From.State == instance_state::Leaving}, Now);
  if (!Outdated)
    Book.setConfig(From.Id, Message.Config);
  for (const member_update &Update : Message.Updates)
    take(Update, Now);
  takeRows(Message.Rows, Now);
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
    forgiveAfterPause(Now);
  runProbeDeadlines(Now, Out);
  for (const instance_id &Id : Book.expire(Settings.ForgetDeadAfter, Now))
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
  if (const auto Deadline = Book.nextDeadline())
    Wake = std::min(Wake, *Deadline);
  return Wake;
}

auto member_table::leave(time_point) -> messages {
  messages Out;
  Leaving = true;
  ++OwnRevision;
  Queue.push(Self.Id);
  const auto Told =
      Round.sample(Book.records(), MostLeaveMessages, Self.Id, Random);
  for (const instance_id &Id : Told) {
    const instance &To = Book.find(Id)->Instance;
    Out.push_back({To, compose(gossip_kind::Ping, NextSequence++, To)});
  }
  return Out;
}

auto member_table::members() const -> std::vector<instance> {
  std::vector<instance> All;
  All.reserve(Book.records().size() + 1);
  bool SelfAdded = false;
  for (const auto &[Id, Record] : Book.records()) {
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
  const member_record *Newest = Book.newestConfig();
  if (Newest == nullptr)
    return std::nullopt;
  return std::pair(Newest->visible(), Newest->Config);
}

auto member_table::reachesPeers(const time_point Now) const -> bool {
  return LastAnswer && Now - *LastAnswer <= suspicionTime();
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
  addAccusation(To, Message.Updates);
  const std::size_t Room =
      Settings.UpdatesPerMessage -
      std::min(Settings.UpdatesPerMessage, Message.Updates.size());
  const std::size_t Limit = sendingLimit(Book.records().size());
  for (const instance_id &Id : Queue.pop(Room, Limit)) {
    const member_record *Record = Book.find(Id);
    if (Id == Self.Id)
      Message.Updates.push_back(ownUpdate());
    else if (Record != nullptr && Id != To.Id)
      Message.Updates.push_back(Record->update());
  }
  return Message;
}

auto member_table::addAccusation(const instance &To,
                                 std::vector<member_update> &Updates) -> void {
  const member_record *Record = Book.find(To.Id);
  if (Record == nullptr)
    return;
  // Only the accused can refute, and an old life should learn of its heir.
  if (Record->Instance.State != instance_state::Live ||
      Record->Instance.Incarnation > To.Incarnation)
    Updates.push_back(Record->update());
}

auto member_table::addRows(std::vector<member_update> &Rows) -> void {
  const auto &Records = Book.records();
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
  for (const auto &[Id, Record] : Book.records())
    Rows.push_back(Record.update());
  return Rows;
}

auto member_table::digest() const -> std::uint64_t {
  return Book.digest() ^ memberDigest(Self, Leaving);
}

auto member_table::take(const member_update &Update, const time_point Now)
    -> void {
  if (Update.Instance.Id == Self.Id) {
    takeOwn(Update);
    return;
  }
  if (takeOther(Update, Now) != member_book::change::None)
    Queue.push(Update.Instance.Id);
}

auto member_table::takeRows(const std::vector<member_update> &Rows,
                            const time_point Now) -> void {
  for (const member_update &Row : Rows) {
    if (Row.Instance.Id == Self.Id)
      takeOwn(Row);
    // What is new to this instance alone is no news to tell on.
    else if (takeOther(Row, Now) == member_book::change::Changed)
      Queue.push(Row.Instance.Id);
  }
}

auto member_table::takeOther(const member_update &Update, const time_point Now)
    -> member_book::change {
  const auto Change =
      Book.take(Update, suspicionTime(), Settings.ForgetDeadAfter, Now);
  if (Change == member_book::change::Learnt)
    Round.insert(Update.Instance.Id, Random);
  return Change;
}

auto member_table::takeOwn(const member_update &Update) -> void {
  const instance &Told = Update.Instance;
  Replaced = Replaced || Told.Incarnation > Self.Incarnation;
  if (Told.Incarnation != Self.Incarnation)
    return;
  const bool Accused = Told.State == instance_state::Suspect ||
                       Told.State == instance_state::Dead;
  if (!Accused || Update.Refutation < Refutation)
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
      std::log10(static_cast<double>(Book.records().size()) + 2.0);
  const double Factor = std::max(1.0, Log);
  return milliseconds(static_cast<milliseconds::rep>(
      static_cast<double>(Settings.SuspicionTime.count()) * Factor));
}

} // namespace tarragon::membership
