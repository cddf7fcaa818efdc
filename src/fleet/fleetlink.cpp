#include "fleet/fleetlink.h"

#include "fleet/internal/hostport.h"
#include "fleet/servingset.h"
#include "gateway/httpconnection.h"
#include "global/boottime.h"
#include "global/hash.h"
#include "global/log.h"

#include <algorithm>
#include <utility>

namespace tarragon::fleet {

namespace {

namespace asio = boost::asio;
using internal::endpointOf;
using internal::splitAddress;

/// Joins repeat faster right after the start, since seeds that start at the
/// same moment don't answer yet.
constexpr milliseconds StartupJoinPeriod{100};
constexpr milliseconds StartupTime{1000};
constexpr milliseconds JoinPeriod{400};
/// Maximum number of peers that receive an announcement of a change.
constexpr std::size_t MaxFanout = 16;
/// The maximum for a change that came from a peer: most others have it already.
constexpr std::size_t MaxRelayFanout = 4;
/// An instance watches the source itself after it failed for this long to
/// fetch a change that peers have.
constexpr milliseconds MaxStaleTime{700};
constexpr milliseconds LoadPeriod{1000};
auto now() -> time_point { return std::chrono::steady_clock::now(); }

auto tableSettings() -> membership::membership_settings {
  membership::membership_settings Table;
  Table.ProbePeriod = milliseconds(400);
  Table.ProbeTimeout = milliseconds(200);
  Table.SuspicionTime = milliseconds(800);
  Table.ProbesPerPeriod = 1;
  Table.UpdatesPerMessage = 8;
  return Table;
}

} // namespace

fleet_link::fleet_link(asio::io_context &NewLoop, fleet_settings NewSettings,
                       handlers NewHandlers)
    : Loop(NewLoop), Settings(std::move(NewSettings)),
      Handlers(std::move(NewHandlers)),
      Table(Settings.Self, tableSettings(), hash64(Settings.Self.Id), now()),
      Selection(
          {Settings.Self.Id, Settings.Self.Capacity, Settings.Self.Domain},
          Settings.MaxDocumentDelay, hash64(Settings.Self.Id), bootTime()),
      Socket(NewLoop), WakeTimer(NewLoop), JoinTimer(NewLoop),
      LoadTimer(NewLoop), StartedAt(now()), Random(hash64(Settings.Self.Id)) {}

fleet_link::~fleet_link() {
  for (auto &[Name, Connection] : Fetches)
    Connection->close();
}

auto fleet_link::start() -> bool {
  boost::system::error_code Error;
  Socket.open(asio::ip::udp::v4(), Error);
  if (!Error)
    Socket.bind(
        endpointOf<asio::ip::udp>(splitAddress(Settings.Self.PeerAddress)),
        Error);
  if (!Error)
    Socket.non_blocking(true, Error);
  if (Error)
    return false;
  const std::string OwnIp = splitAddress(Settings.Self.PeerAddress).Host;
  if (!Settings.SeedIps.empty() &&
      std::find(Settings.SeedIps.begin(), Settings.SeedIps.end(), OwnIp) ==
          Settings.SeedIps.end())
    Selection.expectPeers();
  receive();
  scheduleWake();
  sendJoins();
  measureLoad();
  return true;
}

auto fleet_link::receive() -> void {
  Socket.async_receive_from(
      asio::buffer(Buffer), Sender,
      [this](const boost::system::error_code &Error, const std::size_t Count) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error)
          onDatagram({Buffer.data(), Count});
        receive();
      });
}

auto fleet_link::onDatagram(const std::string_view Text) -> void {
  const auto Datagram = readDatagram(Text);
  if (!Datagram || Datagram->Gossip.From.Id == Settings.Self.Id)
    return;
  const instance &From = Datagram->Gossip.From;
  if (From.Id.empty())
    return;
  if (Datagram->IsBrief) {
    if (Handlers.OnUsage)
      Handlers.OnUsage(From, *Datagram->Usage);
    return;
  }
  if (Datagram->Status.ReadsBrief)
    BriefReaders.insert(From.PeerAddress);
  else
    BriefReaders.erase(From.PeerAddress);
  Statuses[From.Id] = Datagram->Status;
  Selection.onPeerAge(Datagram->Status.SourceAnswerAge, bootTime());
  Selection.onPeerCount(Datagram->Status.Members);
  if (Datagram->Status.NeedsHelp)
    Selection.onHelpRequest(bootTime());
  send(Table.onMessage(Datagram->Gossip, now()));
  membersChanged();
  for (const admission::crash_report &Report : Datagram->Crashes)
    Handlers.OnCrash(Report);
  for (const leaving_target &Target : Datagram->Leaving)
    Handlers.OnLeaving(Target);
  if (Datagram->Usage && Handlers.OnUsage)
    Handlers.OnUsage(From, *Datagram->Usage);
  compareDocuments(From, Datagram->Status);
  compareMembers(From, Datagram->Status);
}

auto fleet_link::membersChanged() -> void {
  if (Table.revision() == KnownRevision)
    return;
  KnownRevision = Table.revision();
  const auto Members = Table.members();
  LiveMembers = static_cast<std::uint32_t>(
      std::count_if(Members.begin(), Members.end(), [](const instance &Member) {
        return Member.State == instance_state::Live;
      }));
  std::erase_if(Statuses, [&](const auto &Entry) {
    return std::none_of(
        Members.begin(), Members.end(),
        [&](const instance &Member) { return Member.Id == Entry.first; });
  });
  if (Handlers.OnPeerLeft)
    for (const instance &Member : Members)
      if (Member.State == instance_state::Leaving &&
          Member.Id != Settings.Self.Id)
        Handlers.OnPeerLeft(Member);
  std::vector<watcher_selection::candidate> Peers;
  for (const instance &Member : livePeers())
    Peers.push_back({Member.Id, Member.Capacity, Member.Domain});
  Selection.setPeers(Peers);
  log::write(
      log::level::Info, log::part::Membership, "members changed",
      {{"live", std::to_string(LiveMembers)}, {"load", std::to_string(Load)}});
  Handlers.OnMembers();
}

auto fleet_link::scheduleWake() -> void {
  WakeTimer.expires_at(Table.nextWake());
  WakeTimer.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    send(Table.onTimer(now()));
    membersChanged();
    scheduleWake();
  });
}

auto fleet_link::sendJoins() -> void {
  if (Table.members().size() < 2) {
    membership::gossip_message Join;
    Join.From = Settings.Self;
    const auto Port = splitAddress(Settings.Self.PeerAddress).Port;
    for (const std::string &Ip : Settings.SeedIps)
      if (Ip != splitAddress(Settings.Self.PeerAddress).Host)
        sendTo(endpointOf<asio::ip::udp>({Ip, Port}), Join);
  }
  JoinTimer.expires_after(now() < StartedAt + StartupTime ? StartupJoinPeriod
                                                          : JoinPeriod);
  JoinTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      sendJoins();
  });
}

auto fleet_link::send(const std::vector<membership::outgoing_gossip> &Messages)
    -> void {
  for (const membership::outgoing_gossip &Message : Messages)
    sendTo(endpointOf<asio::ip::udp>(splitAddress(Message.To.PeerAddress)),
           Message.Message);
}

auto fleet_link::sendTo(const endpoint &To,
                        const membership::gossip_message &Message,
                        const bool NeedsHelp) -> void {
  fleet_datagram Datagram{Message, ownStatus(), {}, {}};
  Datagram.Status.NeedsHelp = NeedsHelp;
  sendDatagram(To, Datagram);
}

auto fleet_link::sendDatagram(const endpoint &To,
                              const fleet_datagram &Datagram) -> void {
  const std::string Text = writeDatagram(Datagram);
  if (!Ready && !Datagram.IsBrief)
    NotReadyRecipients.insert(To);
  boost::system::error_code Ignored; // gossip tolerates lost datagrams
  Socket.send_to(asio::buffer(Text), To, 0, Ignored);
}

auto fleet_link::ownStatus() const -> instance_status {
  return {Marks,
          Settings.LaterDocuments,
          sourceAnswerAge(),
          false,
          Load,
          Ready,
          LiveMembers,
          true};
}

auto fleet_link::setMark(const std::string &Name, const document_mark Mark)
    -> void {
  const bool IsNewer = Mark.isNewerThan(Marks[Name]);
  Marks[Name] = Mark;
  StaleSince.erase(Name);
  if (IsNewer)
    announceChanges(Adopting ? MaxRelayFanout : MaxFanout);
}

auto fleet_link::mark(const std::string &Name) const -> document_mark {
  const auto Found = Marks.find(Name);
  return Found == Marks.end() ? document_mark{} : Found->second;
}

auto fleet_link::hasAllChanges(const instance_id &Peer) const -> bool {
  const auto Status = Statuses.find(Peer);
  if (Status == Statuses.end())
    return false;
  const auto &Theirs = Status->second.Documents;
  return std::all_of(Marks.begin(), Marks.end(), [&](const auto &Mine) {
    const auto Found = Theirs.find(Mine.first);
    return Found != Theirs.end() && !Mine.second.isNewerThan(Found->second);
  });
}

auto fleet_link::announceChanges(const std::size_t MaxPeers) -> void {
  std::vector<instance> Others = Table.members();
  std::erase_if(Others, [this](const instance &Member) {
    return Member.Id == Settings.Self.Id ||
           Member.State == instance_state::Dead || hasAllChanges(Member.Id);
  });
  std::shuffle(Others.begin(), Others.end(), Random);
  Others.resize(std::min(Others.size(), MaxPeers));
  for (const instance &Member : Others)
    sendTo(endpointOf<asio::ip::udp>(splitAddress(Member.PeerAddress)),
           makeAnnouncement());
}

auto fleet_link::makeAnnouncement() const -> membership::gossip_message {
  membership::gossip_message Announcement;
  // An ack that matches no probe, so that the receiver sends no reply.
  Announcement.Kind = membership::gossip_kind::Ack;
  Announcement.From = Settings.Self;
  return Announcement;
}

auto fleet_link::measureLoad() -> void {
  Load = Handlers.Load();
  reportSource();
  Handlers.OnMembers();
  LoadTimer.expires_after(LoadPeriod);
  LoadTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      measureLoad();
  });
}

auto fleet_link::setReady(const bool NewReady) -> void {
  if (Ready == NewReady)
    return;
  Ready = NewReady;
  if (!Ready)
    return;
  // Peers that received Ready = false may otherwise receive no datagram from
  // this instance for a long time.
  for (const endpoint &To : std::exchange(NotReadyRecipients, {}))
    sendTo(To, makeAnnouncement());
}

auto fleet_link::recordSourceAnswer() -> void {
  Selection.onAnswer(bootTime());
}

auto fleet_link::recordSourceFailure() -> void {
  auto Helpers = livePeers();
  std::shuffle(Helpers.begin(), Helpers.end(), Random);
  Helpers.resize(std::min(Helpers.size(), Selection.onFailure(bootTime())));
  for (const instance &Helper : Helpers)
    sendTo(endpointOf<asio::ip::udp>(splitAddress(Helper.PeerAddress)),
           makeAnnouncement(), true);
}

auto fleet_link::sourceAnswerAge() const -> milliseconds {
  return Selection.answerAge(bootTime());
}

auto fleet_link::reportSource() -> void {
  const bool IsStale = Selection.isStale(bootTime());
  if (IsStale == SourceStale)
    return;
  SourceStale = IsStale;
  log::write(IsStale ? log::level::Warning : log::level::Info,
             log::part::Membership,
             IsStale ? "no instance is answered by the source of documents"
                     : "an instance is answered by the source again",
             {{"age_ms", std::to_string(sourceAnswerAge().count())}});
}

auto fleet_link::leave() -> void {
  Settings.Self.State = instance_state::Leaving;
  Ready = false;
  send(Table.leave(now()));
}

auto fleet_link::readyPeers() const -> std::vector<instance> {
  std::vector<instance> Peers;
  for (instance &Member : Table.members()) {
    // A member without a status has sent no datagram to this instance yet. It
    // counts as ready, since it soon is.
    const auto Status = Statuses.find(Member.Id);
    const bool IsReady = Status == Statuses.end() || Status->second.Ready;
    if (IsReady && Member.State == instance_state::Live &&
        Member.Id != Settings.Self.Id)
      Peers.push_back(std::move(Member));
  }
  return Peers;
}

auto fleet_link::serving() const -> std::vector<instance> {
  std::vector<instance> Eligible = readyPeers();
  if (Ready)
    Eligible.push_back(Settings.Self);
  std::vector<serving_candidate> Candidates;
  for (const instance &Member : Eligible) {
    const auto Status = Statuses.find(Member.Id);
    const bool IsSelf = Member.Id == Settings.Self.Id;
    const double ReportedLoad =
        Status == Statuses.end() ? 0 : Status->second.Load;
    Candidates.push_back({Member.Id, Member.Domain, Member.Capacity,
                          IsSelf ? Load : ReportedLoad});
  }
  const auto Chosen = chooseServing(std::move(Candidates));
  std::erase_if(Eligible, [&Chosen](const instance &Member) {
    return std::find(Chosen.begin(), Chosen.end(), Member.Id) == Chosen.end();
  });
  return Eligible;
}

auto fleet_link::hasStaleDocuments() const -> bool {
  return std::any_of(StaleSince.begin(), StaleSince.end(),
                     [Now = now()](const auto &Document) {
                       return Now - Document.second > MaxStaleTime;
                     });
}

auto fleet_link::livePeers() const -> std::vector<instance> {
  std::vector<instance> Peers = Table.members();
  std::erase_if(Peers, [this](const instance &Member) {
    return Member.State != instance_state::Live ||
           Member.Id == Settings.Self.Id;
  });
  return Peers;
}

auto fleet_link::mustWatch() -> bool {
  if (hasStaleDocuments())
    return true;
  return Selection.mustWatch(bootTime());
}

} // namespace tarragon::fleet
