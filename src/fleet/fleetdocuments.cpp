// Document exchange of fleet_link: requests to peers and answers to theirs.
#include "fleet/fleetlink.h"

#include "fleet/internal/hostport.h"
#include "gateway/callersession.h"
#include "gateway/httpconnection.h"
#include "global/deflate.h"
#include "global/log.h"

#include <charconv>

namespace tarragon::fleet {

namespace {

namespace asio = boost::asio;
using internal::endpointOf;
using internal::host_port;
using internal::splitAddress;

constexpr milliseconds FetchTimeout{1000};
constexpr std::string_view DocumentPath = "/documents/";
constexpr std::string_view AsOfHeader = "As-Of";
constexpr std::string_view ChangedHeader = "Changed";
constexpr std::size_t MaxDocumentBytes = 67108864;
constexpr std::string_view EncodingHeader = "Content-Encoding";
constexpr std::string_view Deflate = "deflate";
constexpr std::string_view SinceParameter = "?since=";
/// The member table is served as a document under this name.
constexpr std::string_view MembersName = "members";
/// The whole member table is fetched from a peer that reports more than this
/// multiple of the live members in the own table.
constexpr double FullSyncRatio = 1.05;
constexpr milliseconds MemberSyncPeriod{300};

auto now() -> time_point { return std::chrono::steady_clock::now(); }

/// Returns the revision in \p Target behind the parameter at \p At, or 0.
auto parseSince(const std::string &Target, const std::size_t At)
    -> std::uint64_t {
  std::uint64_t Since = 0;
  if (At != std::string::npos)
    std::from_chars(Target.data() + At + SinceParameter.size(),
                    Target.data() + Target.size(), Since);
  return Since;
}

auto readRevision(const gateway::exchange_answer &Answer,
                  const std::string_view Name) -> std::uint64_t {
  std::uint64_t Revision = 0;
  if (const std::string *Text = Answer.find(Name))
    std::from_chars(Text->data(), Text->data() + Text->size(), Revision);
  return Revision;
}

} // namespace

auto fleet_link::compareDocuments(const instance &From,
                                  const instance_status &Status) -> void {
  for (const auto &[Name, Mark] : Status.Documents) {
    if (!Settings.Documents.contains(Name) || !Mark.isNewerThan(mark(Name)))
      continue;
    StaleSince.try_emplace(Name, now());
    if (!Fetches.count(Name))
      fetch(Name, From);
  }
}

auto fleet_link::compareMembers(const instance &From,
                                const instance_status &Status) -> void {
  const time_point Now = now();
  if (Status.Members <= LiveMembers * FullSyncRatio ||
      Now - LastMemberSync < MemberSyncPeriod ||
      Fetches.count(std::string(MembersName)) > 0)
    return;
  LastMemberSync = Now;
  fetchMembers(From);
}

auto fleet_link::fetchMembers(const instance &From) -> void {
  requestDocument(From, std::string(MembersName), 0,
                  [this](const gateway::exchange_answer &Answer) {
                    const auto Datagram = readDatagram(Answer.Body);
                    if (!Datagram)
                      return;
                    Table.applyRows(Datagram->Gossip.Rows, now());
                    membersChanged();
                  });
}

auto fleet_link::membersText() const -> std::string {
  membership::gossip_message Message;
  Message.From = Settings.Self;
  Message.Rows = Table.rows();
  return writeDatagram({Message, ownStatus(), {}});
}

auto fleet_link::fetch(const std::string &Name, const instance &From) -> void {
  const auto Since = FullFetches.erase(Name) > 0 ? 0 : mark(Name).AsOf;
  requestDocument(
      From, Name, Since, [this, Name](const gateway::exchange_answer &Answer) {
        const document_mark Mark{readRevision(Answer, AsOfHeader),
                                 readRevision(Answer, ChangedHeader)};
        if (!Mark.isNewerThan(mark(Name)))
          return;
        Adopting = true;
        if (!Handlers.Adopt(Name, Mark, Answer.Body))
          FullFetches.insert(Name);
        Adopting = false;
      });
}

auto fleet_link::requestDocument(
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
        const auto Found = Fetches.find(Name);
        if (Error || Found == Fetches.end() || Found->second != Connection)
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
        auto Body = inflateBytes(Answer.Body, MaxDocumentBytes);
        if (!Body)
          return log::write(log::level::Warning, log::part::Membership,
                            "failed to decompress a document from a peer",
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
  if (Request.RequestTarget.starts_with(DocumentPath)) {
    const auto Query = Request.RequestTarget.find(SinceParameter);
    const std::string Name = Request.RequestTarget.substr(
        DocumentPath.size(), Query - DocumentPath.size());
    writeDocument(Name, parseSince(Request.RequestTarget, Query), Answer);
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
    const auto Found = Marks.find(Name);
    if (Found == Marks.end())
      return;
    Text = Handlers.Write(Name, Since);
    Answer.Headers = {
        {std::string(AsOfHeader), std::to_string(Found->second.AsOf)},
        {std::string(ChangedHeader), std::to_string(Found->second.Changed)}};
  }
  Answer.Status = 200;
  Answer.Headers.push_back({std::string(EncodingHeader), std::string(Deflate)});
  Answer.Body = deflateBytes(Text);
}

} // namespace tarragon::fleet
