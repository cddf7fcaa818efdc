#include "fleet/fleetlink.h"

#include "fleet/servingset.h"
#include "gateway/callersession.h"
#include "gateway/httpconnection.h"
#include "global/deflate.h"
#include "global/hash.h"
#include "global/log.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace tarragon::fleet {

namespace {

namespace asio = boost::asio;

/// Seeds that start at the same moment are greeted often until they answer.
constexpr milliseconds YoungGreetPeriod{100};
constexpr milliseconds Young{1000};
constexpr milliseconds GreetPeriod{400};
constexpr milliseconds FetchTimeout{1000};
constexpr std::string_view DocumentPath = "/documents/";
constexpr std::string_view AsOfHeader = "As-Of";
constexpr std::string_view ChangedHeader = "Changed";
constexpr std::size_t MostToldAtOnce = 16;
/// So many peers are told of news that came from a peer: most have heard it.
constexpr std::size_t MostToldOn = 4;
/// What peers know and didn't give within it is asked of the source itself.
constexpr milliseconds LongestBehind{700};
constexpr std::size_t MostDocumentBytes = 67108864;
constexpr std::string_view EncodingHeader = "Content-Encoding";
constexpr std::string_view Deflate = "deflate";
constexpr milliseconds LoadPeriod{1000};
constexpr std::string_view SinceParameter = "?since=";
/// All that an instance knows of its peers; a document of its own kind.
constexpr std::string_view MembersName = "members";
/// A peer that knows so many times the members is asked for all of them.
constexpr double FarMore = 1.05;
constexpr milliseconds MembersPause{300};

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

struct host_port {
  std::string Host;
  std::uint16_t Port = 0;
};

auto splitAddress(const std::string &Address) -> host_port {
  const auto Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return {Address, 0};
  host_port Split{Address.substr(0, Colon), 0};
  std::from_chars(Address.data() + Colon + 1, Address.data() + Address.size(),
                  Split.Port);
  return Split;
}

template <class Protocol>
auto endpointOf(const host_port &Split) -> typename Protocol::endpoint {
  boost::system::error_code Error;
  return {asio::ip::make_address(Split.Host, Error), Split.Port};
}

/// The revision in \p Target behind the parameter at \p At, or 0.
auto sinceIn(const std::string &Target, const std::size_t At) -> std::uint64_t {
  std::uint64_t Since = 0;
  if (At != std::string::npos)
    std::from_chars(Target.data() + At + SinceParameter.size(),
                    Target.data() + Target.size(), Since);
  return Since;
}

auto revisionIn(const gateway::exchange_answer &Answer,
                const std::string_view Name) -> std::uint64_t {
  std::uint64_t Revision = 0;
  if (const std::string *Text = Answer.find(Name))
    std::from_chars(Text->data(), Text->data() + Text->size(), Revision);
  return Revision;
}

} // namespace

fleet_link::fleet_link(asio::io_context &NewLoop, fleet_settings NewSettings,
                       handlers NewHandlers)
    : Loop(NewLoop), Settings(std::move(NewSettings)),
      Handlers(std::move(NewHandlers)),
      Table(Settings.Self, tableSettings(), hash64(Settings.Self.Id), now()),
      Duty(Settings.Self.Id, Settings.Self.Capacity), Socket(NewLoop),
      WakeTimer(NewLoop), GreetTimer(NewLoop), LoadTimer(NewLoop),
      StartedAt(now()), SourceHeardAt(now() - std::chrono::hours(1)),
      Random(hash64(Settings.Self.Id)) {}

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
  receive();
  arrangeWake();
  greetSeeds();
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
  Digests[From.Id] = Datagram->Digest;
  send(Table.onMessage(Datagram->Gossip, now()));
  membersChanged();
  for (const admission::crash_report &Report : Datagram->Crashes)
    Handlers.OnCrash(Report);
  compareDocuments(From, Datagram->Digest);
  compareMembers(From, Datagram->Digest);
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
  std::erase_if(Digests, [&](const auto &Entry) {
    return std::none_of(
        Members.begin(), Members.end(),
        [&](const instance &Member) { return Member.Id == Entry.first; });
  });
  log::write(
      log::level::Info, log::part::Membership, "members changed",
      {{"live", std::to_string(LiveMembers)}, {"load", std::to_string(Load)}});
  Handlers.OnMembers();
}

auto fleet_link::arrangeWake() -> void {
  WakeTimer.expires_at(Table.nextWake());
  WakeTimer.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    send(Table.onTimer(now()));
    membersChanged();
    arrangeWake();
  });
}

auto fleet_link::greetSeeds() -> void {
  if (Table.members().size() < 2) {
    membership::gossip_message Greeting;
    Greeting.From = Settings.Self;
    const auto Port = splitAddress(Settings.Self.PeerAddress).Port;
    for (const std::string &Ip : Settings.SeedIps)
      if (Ip != splitAddress(Settings.Self.PeerAddress).Host)
        sendTo(endpointOf<asio::ip::udp>({Ip, Port}), Greeting);
  }
  GreetTimer.expires_after(now() < StartedAt + Young ? YoungGreetPeriod
                                                     : GreetPeriod);
  GreetTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      greetSeeds();
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
                        std::vector<admission::crash_report> Crashes) -> void {
  const std::string Text =
      writeDatagram({Message, ownDigest(), std::move(Crashes)});
  if (!Ready)
    ToldNotReady.insert(To);
  boost::system::error_code Ignored; // a lost datagram is no failure
  Socket.send_to(asio::buffer(Text), To, 0, Ignored);
}

auto fleet_link::ownDigest() const -> fleet_digest {
  return {Marks,
          std::chrono::duration_cast<milliseconds>(now() - SourceHeardAt), Load,
          Ready, LiveMembers};
}

auto fleet_link::setMark(const std::string &Name, const document_mark Mark)
    -> void {
  const bool IsNews = Mark.isNewsFor(Marks[Name]);
  Marks[Name] = Mark;
  BehindSince.erase(Name);
  if (IsNews)
    tellNews(Adopting ? MostToldOn : MostToldAtOnce);
}

auto fleet_link::mark(const std::string &Name) const -> document_mark {
  const auto Known = Marks.find(Name);
  return Known == Marks.end() ? document_mark{} : Known->second;
}

auto fleet_link::knowsAll(const instance_id &Peer) const -> bool {
  const auto Digest = Digests.find(Peer);
  if (Digest == Digests.end())
    return false;
  const auto &Theirs = Digest->second.Documents;
  return std::all_of(Marks.begin(), Marks.end(), [&](const auto &Mine) {
    const auto Known = Theirs.find(Mine.first);
    return Known != Theirs.end() && !Mine.second.isNewsFor(Known->second);
  });
}

auto fleet_link::tellNews(const std::size_t Most) -> void {
  std::vector<instance> Others = Table.members();
  std::erase_if(Others, [this](const instance &Member) {
    return Member.Id == Settings.Self.Id ||
           Member.State == instance_state::Dead || knowsAll(Member.Id);
  });
  std::shuffle(Others.begin(), Others.end(), Random);
  Others.resize(std::min(Others.size(), Most));
  for (const instance &Member : Others)
    sendTo(endpointOf<asio::ip::udp>(splitAddress(Member.PeerAddress)), news());
}

auto fleet_link::tellCrash(const admission::crash_report &Report) -> void {
  for (const instance &Member : serving())
    if (Member.Id != Settings.Self.Id)
      sendTo(endpointOf<asio::ip::udp>(splitAddress(Member.PeerAddress)),
             news(), {Report});
}

auto fleet_link::news() const -> membership::gossip_message {
  membership::gossip_message News;
  // An answer to nothing, so that nobody answers it.
  News.Kind = membership::gossip_kind::Ack;
  News.From = Settings.Self;
  return News;
}

auto fleet_link::measureLoad() -> void {
  Load = Handlers.Load();
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
  // Those who heard otherwise may not hear from this instance for long.
  for (const endpoint &To : std::exchange(ToldNotReady, {}))
    sendTo(To, news());
}

auto fleet_link::noteSource() -> void { SourceHeardAt = now(); }

auto fleet_link::leave() -> void {
  Settings.Self.State = instance_state::Leaving;
  Ready = false;
  send(Table.leave(now()));
}

auto fleet_link::readyPeers() const -> std::vector<instance> {
  std::vector<instance> Peers;
  for (instance &Member : Table.members()) {
    // One not heard from directly yet is taken to serve: it soon does.
    const auto Digest = Digests.find(Member.Id);
    const bool IsReady = Digest == Digests.end() || Digest->second.Ready;
    if (IsReady && Member.State == instance_state::Live &&
        Member.Id != Settings.Self.Id)
      Peers.push_back(std::move(Member));
  }
  return Peers;
}

auto fleet_link::serving() const -> std::vector<instance> {
  std::vector<instance> Able = readyPeers();
  if (Ready)
    Able.push_back(Settings.Self);
  std::vector<serving_candidate> Candidates;
  for (const instance &Member : Able) {
    const auto Digest = Digests.find(Member.Id);
    const bool IsSelf = Member.Id == Settings.Self.Id;
    const double Told = Digest == Digests.end() ? 0 : Digest->second.Load;
    Candidates.push_back(
        {Member.Id, Member.Domain, Member.Capacity, IsSelf ? Load : Told});
  }
  const auto Chosen = chooseServing(std::move(Candidates));
  std::erase_if(Able, [&Chosen](const instance &Member) {
    return std::find(Chosen.begin(), Chosen.end(), Member.Id) == Chosen.end();
  });
  return Able;
}

auto fleet_link::isBehind() const -> bool {
  return std::any_of(BehindSince.begin(), BehindSince.end(),
                     [Now = now()](const auto &Document) {
                       return Now - Document.second > LongestBehind;
                     });
}

auto fleet_link::mustWatch() const -> bool {
  if (isBehind())
    return true;
  std::vector<watch_duty::peer> Peers;
  for (const instance &Member : readyPeers()) {
    const auto Digest = Digests.find(Member.Id);
    Peers.push_back({Member.Id,
                     Digest == Digests.end() ? watch_duty::LongestSilence
                                             : Digest->second.SourceSilence,
                     Member.Capacity});
  }
  return Duty.mustWatch(Peers);
}

auto fleet_link::compareDocuments(const instance &From,
                                  const fleet_digest &Digest) -> void {
  for (const auto &[Name, Mark] : Digest.Documents) {
    if (!Mark.isNewsFor(mark(Name)))
      continue;
    BehindSince.try_emplace(Name, now());
    if (!Fetches.count(Name))
      fetch(Name, From);
  }
}

auto fleet_link::compareMembers(const instance &From,
                                const fleet_digest &Digest) -> void {
  const time_point Now = now();
  if (Digest.Members <= LiveMembers * FarMore ||
      Now - MembersAskedAt < MembersPause)
    return;
  MembersAskedAt = Now;
  fetchMembers(From);
}

auto fleet_link::fetchMembers(const instance &From) -> void {
  ask(From, std::string(MembersName), 0,
      [this](const gateway::exchange_answer &Answer) {
        const auto Told = readDatagram(Answer.Body);
        if (!Told)
          return;
        Table.takeRows(Told->Gossip.Rows, now());
        membersChanged();
      });
}

auto fleet_link::membersText() const -> std::string {
  membership::gossip_message Message;
  Message.From = Settings.Self;
  Message.Rows = Table.rows();
  return writeDatagram({Message, ownDigest(), {}});
}

auto fleet_link::fetch(const std::string &Name, const instance &From) -> void {
  const auto Since = FetchWhole.erase(Name) > 0 ? 0 : mark(Name).AsOf;
  ask(From, Name, Since, [this, Name](const gateway::exchange_answer &Answer) {
    const document_mark Mark{revisionIn(Answer, AsOfHeader),
                             revisionIn(Answer, ChangedHeader)};
    if (!Mark.isNewsFor(mark(Name)))
      return;
    Adopting = true;
    if (!Handlers.Adopt(Name, Mark, Answer.Body))
      FetchWhole.insert(Name);
    Adopting = false;
  });
}

auto fleet_link::ask(
    const instance &From, const std::string &Name, const std::uint64_t Since,
    std::function<void(const gateway::exchange_answer &)> OnAnswer) -> void {
  host_port Server = splitAddress(From.PeerAddress);
  Server.Port = Settings.DocumentPort;
  auto Connection = std::make_shared<gateway::http_connection>(
      Loop, endpointOf<asio::ip::tcp>(Server), FetchTimeout);
  Fetches[Name] = Connection;
  auto Timer = std::make_shared<asio::steady_timer>(Loop, FetchTimeout);
  Timer->async_wait(
      [this, Name, Connection](const boost::system::error_code &Error) {
        const auto Known = Fetches.find(Name);
        if (Error || Known == Fetches.end() || Known->second != Connection)
          return;
        Connection->close();
        Fetches.erase(Name);
      });
  const std::string Bytes =
      "GET " + std::string(DocumentPath) + Name + std::string(SinceParameter) +
      std::to_string(Since) + " HTTP/1.1\r\nHost: " + Server.Host +
      "\r\nConnection: close\r\n\r\n";
  Connection->open();
  Connection->start(
      {Bytes, {}, {}, false},
      [this, Name, Timer,
       OnAnswer = std::move(OnAnswer)](const gateway::exchange_end End,
                                       const gateway::exchange_answer &Answer) {
        Timer->cancel();
        Fetches.erase(Name);
        if (End != gateway::exchange_end::Complete || Answer.Status != 200)
          return;
        const std::string *Encoding = Answer.find(EncodingHeader);
        if (!Encoding || *Encoding != Deflate)
          return OnAnswer(Answer);
        auto Body = inflated(Answer.Body, MostDocumentBytes);
        if (!Body)
          return log::write(log::level::Warning, log::part::Membership,
                            "a peer's document can't be read",
                            {{"name", Name}, {"why", Body.error().Detail}});
        gateway::exchange_answer Plain = Answer;
        Plain.Body = std::move(Body.value());
        OnAnswer(Plain);
      });
}

auto fleet_link::onRequest(
    const std::shared_ptr<gateway::caller_session> &Session,
    const gateway::caller_request &Request) -> void {
  gateway::caller_answer Answer;
  Answer.Status = 404;
  if (Request.Target.starts_with(DocumentPath)) {
    const auto Query = Request.Target.find(SinceParameter);
    const std::string Name =
        Request.Target.substr(DocumentPath.size(), Query - DocumentPath.size());
    writeDocument(Name, sinceIn(Request.Target, Query), Answer);
  }
  Session->answer(std::move(Answer), true);
}

auto fleet_link::writeDocument(const std::string &Name,
                               const std::uint64_t Since,
                               gateway::caller_answer &Answer) const -> void {
  std::string Text;
  if (Name == MembersName) {
    Text = membersText();
  } else {
    const auto Known = Marks.find(Name);
    if (Known == Marks.end())
      return;
    Text = Handlers.Write(Name, Since);
    Answer.Headers = {
        {std::string(AsOfHeader), std::to_string(Known->second.AsOf)},
        {std::string(ChangedHeader), std::to_string(Known->second.Changed)}};
  }
  Answer.Status = 200;
  Answer.Headers.push_back({std::string(EncodingHeader), std::string(Deflate)});
  Answer.Body = deflated(Text);
}

} // namespace tarragon::fleet
