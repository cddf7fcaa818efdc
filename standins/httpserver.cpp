#include "standins/httpserver.h"

#include "standins/attemptheader.h"
#include "standins/connectiontable.h"

#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include <cstdio>

namespace tarragon::standins {

namespace {

namespace http = Pistache::Http;

constexpr std::chrono::seconds IdleTimeout{3600};
constexpr std::size_t MaxRequestBytes = 4U << 20U;
constexpr std::size_t MaxReplyBytes = 64U << 20U;

auto header(const http::Request &From, const char *const Name) -> std::string {
  const auto Raw = From.headers().tryGetRaw(Name);
  return Raw ? Raw->value() : std::string();
}

auto decodePercent(const std::string &Text) -> std::string {
  std::string Decoded;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    unsigned int Byte = 0;
    if (Text[At] == '%' &&
        std::sscanf(Text.substr(At + 1, 2).c_str(), "%2x", &Byte) == 1) {
      Decoded += static_cast<char>(Byte);
      At += 2;
      continue;
    }
    Decoded += Text[At];
  }
  return Decoded;
}

auto toRequest(const http::Request &From) -> http_request {
  http_request Request;
  Request.Method = http::methodString(From.method());
  Request.Path = From.resource();
  Request.Body = From.body();
  const auto &Query = From.query();
  for (auto It = Query.parameters_begin(); It != Query.parameters_end(); ++It)
    Request.Parameters.emplace(It->first, decodePercent(It->second));
  Request.AttemptHeader = header(From, "X-Tarragon-Attempt");
  Request.DeadlineHeader = header(From, "X-Tarragon-Deadline-Ms");
  return Request;
}

/// Keeps the connection open by default, as HTTP/1.1 requires. Pistache closes
/// it unless the request has a Connection: keep-alive header.
auto keepAlive(const http::Request &From, http::ResponseWriter &Writer)
    -> void {
  if (From.headers().has<http::Header::Connection>())
    return;
  Writer.headers().remove<http::Header::Connection>();
  Writer.headers().add<http::Header::Connection>(
      http::ConnectionControl::KeepAlive);
}

} // namespace

class http_reply::state {
public:
  state(http::ResponseWriter Writer,
        std::shared_ptr<connection_table> Connections,
        const std::uint64_t Connection)
      : Writer(std::move(Writer)), Connections(std::move(Connections)),
        Connection(Connection) {}

  http::ResponseWriter Writer;
  std::shared_ptr<connection_table> Connections;
  std::uint64_t Connection;
};

http_reply::http_reply(std::shared_ptr<state> State)
    : State(std::move(State)) {}

auto http_reply::send(const int Status, const std::string &Body,
                      const std::string &Attempt) const -> void {
  try {
    if (!Attempt.empty())
      State->Writer.headers().add<attempt_header>(Attempt);
    State->Writer.setMime(MIME(Application, Json));
    State->Writer.send(static_cast<http::Code>(Status), Body);
  } catch (const std::exception &) {
    // The client has disconnected.
  }
}

auto http_reply::sendCut(const int Status, const std::string &Body,
                         const std::string &Attempt) const -> void {
  std::string Bytes =
      "HTTP/1.1 " + std::to_string(Status) + " Cut\r\n" +
      "Content-Type: application/json\r\n" + "X-Tarragon-Attempt: " + Attempt +
      "\r\n" + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  Bytes += Body.substr(0, Body.size() / 2);
  State->Connections->sendAndShutDown(State->Connection, Bytes);
}

auto http_reply::close() const -> void {
  State->Connections->sendAndShutDown(State->Connection, {});
}

namespace {

class request_handler : public http::Handler {
public:
  HTTP_PROTOTYPE(request_handler)

  request_handler(http_server::handler Handler,
                  std::shared_ptr<connection_table> Connections)
      : Handler(std::move(Handler)), Connections(std::move(Connections)) {}

  auto onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer)
      -> void override {
    // Repeats the base class's onConnection(), which is not accessible here.
    Peer->putData(ParserData,
                  std::make_shared<http::RequestParser>(getMaxRequestSize()));
    Connections->add(Peer->getID(), Peer->fd());
  }

  auto onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer)
      -> void override {
    Connections->remove(Peer->getID());
  }

  auto onRequest(const http::Request &From, http::ResponseWriter Writer)
      -> void override {
    const auto Peer = Writer.getPeer();
    if (!Peer)
      return;
    keepAlive(From, Writer);
    http_request Request = toRequest(From);
    Request.Connection = Peer->getID();
    Request.FirstOfConnection = Connections->markUsed(Request.Connection);
    Handler(Request, http_reply(std::make_shared<http_reply::state>(
                         std::move(Writer), Connections, Request.Connection)));
  }

private:
  http_server::handler Handler;
  std::shared_ptr<connection_table> Connections;
};

} // namespace

class http_server::endpoint {
public:
  explicit endpoint(const Pistache::Address &Address) : Endpoint(Address) {}

  http::Endpoint Endpoint;
};

http_server::http_server(address Listen, const int Threads,
                         const std::size_t MaxConnections)
    : Listen(std::move(Listen)), Threads(Threads),
      Connections(std::make_shared<connection_table>(MaxConnections)) {}

http_server::~http_server() = default;

auto http_server::start(handler Handler) -> bool {
  try {
    Endpoint = std::make_unique<endpoint>(Pistache::Address(Listen));
    const auto Options = http::Endpoint::options()
                             .threads(Threads)
                             .flags(Pistache::Tcp::Options::NoDelay |
                                    Pistache::Tcp::Options::ReuseAddr |
                                    Pistache::Tcp::Options::CloseOnExec)
                             .backlog(1024)
                             .headerTimeout(IdleTimeout)
                             .bodyTimeout(IdleTimeout)
                             .keepaliveTimeout(IdleTimeout)
                             .maxRequestSize(MaxRequestBytes)
                             .maxResponseSize(MaxReplyBytes);
    Endpoint->Endpoint.init(Options);
    Endpoint->Endpoint.setHandler(
        std::make_shared<request_handler>(std::move(Handler), Connections));
    Endpoint->Endpoint.serveThreaded();
  } catch (const std::exception &) {
    return false;
  }
  return true;
}

auto http_server::connections() const -> connection_counts {
  return Connections->counts();
}

} // namespace tarragon::standins
