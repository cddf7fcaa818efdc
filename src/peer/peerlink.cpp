#include "peer/peerlink.h"

#include "global/json.h"
#include "global/log.h"
#include "peer/internal/rpcenvelope.h"
#include "peer/internal/rpcservice.h"
#include "peer/peercodec.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"

namespace tarragon::peer {

namespace {

constexpr milliseconds AckTimeout{150};
constexpr int MaxCallsInFlight = 4;
constexpr int ServerThreads = 2;
constexpr std::size_t MaxBodyBytes = 16777216;

auto now() -> time_point { return std::chrono::steady_clock::now(); }

/// Encodes the messages as one string parameter of the RPC call, since the RPC
/// library is slow to copy and write a tree of them.
auto encodeCall(const instance &Self, const std::vector<peer_message> &Messages)
    -> std::string {
  const time_point Now = now();
  Json::Value Batch;
  Batch["messages"] = Json::Value(Json::arrayValue);
  for (const peer_message &Message : Messages)
    Batch["messages"].append(encodeMessage(Message, Now));
  Json::Value Parameters;
  Parameters["from"] = encodeInstance(Self);
  Parameters["batch"] = writeJson(Batch);
  return makeNotification(Parameters);
}

} // namespace

peer_link::peer_link(instance Self, handlers Handlers)
    : Self(std::move(Self)), Handlers(std::move(Handlers)),
      Connector(std::make_unique<http_connector>()),
      Service(std::make_unique<rpc_service>(
          *Connector,
          [this](const Json::Value &Parameters) { onDelivered(Parameters); })),
      Server(std::make_unique<transport::http_server>(
          transport::http_server_settings{this->Self.PeerAddress, ServerThreads,
                                          MaxBodyBytes})),
      Client(std::make_unique<transport::http_client>(
          transport::http_client_settings{MaxCallsInFlight})) {}

peer_link::~peer_link() { stop(); }

auto peer_link::start() -> result<void> {
  return Server->start([this](transport::http_request Request,
                              transport::http_responder Responder) {
    std::string Reply;
    Connector->OnRequest(Request.Body, &Reply);
    Responder.send(200, Reply.empty() ? "{}" : Reply);
  });
}

auto peer_link::stop() -> void {
  Server->stop();
  Client.reset();
}

auto peer_link::send(const instance &Peer, peer_message Message) -> void {
  std::vector<peer_message> Messages;
  {
    const std::lock_guard Lock(Mutex);
    outbox &Outbox = Outboxes[Peer.PeerAddress];
    Outbox.Peer = Peer;
    Outbox.Waiting.push_back(std::move(Message));
    if (Outbox.CallsInFlight >= MaxCallsInFlight)
      return;
    ++Outbox.CallsInFlight;
    Messages.swap(Outbox.Waiting);
  }
  post(Peer, std::move(Messages));
}

auto peer_link::bytesSent() const -> std::uint64_t {
  const std::lock_guard Lock(Mutex);
  return Bytes;
}

auto peer_link::post(const instance &Peer, std::vector<peer_message> Messages)
    -> void {
  transport::http_call Call;
  Call.To = Peer.PeerAddress;
  Call.Path = "/rpc";
  Call.Body = encodeCall(Self, Messages);
  Call.Timeout = AckTimeout;
  {
    const std::lock_guard Lock(Mutex);
    Bytes += Call.Body.size();
  }
  if (!Client)
    return;
  Client->start(std::move(Call), [this, Peer, Messages = std::move(Messages)](
                                     transport::http_reply Reply) mutable {
    const bool Accepted =
        Reply.End == transport::call_end::Replied && Reply.Status == 200;
    onPosted(Peer, std::move(Messages),
             Accepted ? transport::call_end::Replied
                      : transport::call_end::ClosedBeforeReply);
  });
}

auto peer_link::onPosted(const instance &Peer,
                         std::vector<peer_message> Messages,
                         const transport::call_end End) -> void {
  std::vector<peer_message> Next = popWaiting(Peer);
  if (!Next.empty())
    post(Peer, std::move(Next));
  if (End != transport::call_end::Replied)
    Handlers.OnLost(Peer, std::move(Messages));
}

auto peer_link::popWaiting(const instance &Peer) -> std::vector<peer_message> {
  std::vector<peer_message> Next;
  const std::lock_guard Lock(Mutex);
  outbox &Outbox = Outboxes[Peer.PeerAddress];
  Next.swap(Outbox.Waiting);
  if (Next.empty())
    --Outbox.CallsInFlight;
  return Next;
}

auto peer_link::onDelivered(const Json::Value &Parameters) -> void {
  try {
    deliver(Parameters, decodeInstance(Parameters["from"]));
  } catch (const Json::Exception &Error) {
    log::write(log::level::Warning, log::part::Transport,
               "peer call without a sender dropped",
               {{"reason", Error.what()}});
  }
}

auto peer_link::deliver(const Json::Value &Parameters, const instance &From)
    -> void {
  const time_point Now = now();
  const auto Batch = parseJson(Parameters["batch"].asString());
  if (!Batch)
    return log::write(log::level::Warning, log::part::Transport,
                      "peer batch dropped",
                      {{"from", From.Id}, {"reason", Batch.error().Detail}});
  for (const Json::Value &Value : Batch.value()["messages"]) {
    auto Message = decodeMessage(Value, Now);
    if (Message)
      Handlers.OnMessage(From, std::move(Message.value()));
    else
      log::write(log::level::Warning, log::part::Transport,
                 "peer message dropped",
                 {{"from", From.Id}, {"reason", Message.error().Detail}});
  }
}

} // namespace tarragon::peer
