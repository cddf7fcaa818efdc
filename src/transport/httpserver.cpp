#include "transport/httpserver.h"

#include "transport/internal/recordingparser.h"
#include "transport/internal/responderchannel.h"

#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include <charconv>

namespace tarragon::transport {

namespace {

namespace http = Pistache::Http;

auto toRequest(const http::Request &From) -> http_request {
  http_request Request;
  Request.Method = http::methodString(From.method());
  Request.Path = From.resource();
  Request.Body = From.body();
  const auto &Query = From.query();
  for (auto It = Query.parameters_begin(); It != Query.parameters_end(); ++It)
    Request.Parameters.emplace(It->first, It->second);
  const auto Authorization =
      From.headers().tryGet<http::Header::Authorization>();
  if (Authorization)
    Request.Authorization = Authorization->value();
  return Request;
}

/// Pistache closes the connection after a request without a Connection header,
/// although connections are persistent by default in HTTP/1.1.
auto keepOpen(const http::Request &Request, http::ResponseWriter &Response)
    -> void {
  if (Request.headers().has<http::Header::Connection>())
    return;
  Response.headers().remove<http::Header::Connection>();
  Response.headers().add<http::Header::Connection>(
      http::ConnectionControl::KeepAlive);
}

class request_handler : public http::Handler {
public:
  HTTP_PROTOTYPE(request_handler)

  request_handler(http_server::handler Handler,
                  std::vector<std::string> RecordedHeaders)
      : Handler(std::move(Handler)),
        RecordedHeaders(std::make_shared<const std::vector<std::string>>(
            std::move(RecordedHeaders))) {}

  auto onRequest(const http::Request &Request, http::ResponseWriter Response)
      -> void override {
    keepOpen(Request, Response);
    http_request Received = toRequest(Request);
    if (const auto Peer = Response.getPeer())
      Received.Headers =
          std::static_pointer_cast<recording_parser>(getParser(Peer))
              ->recorded();
    Handler(std::move(Received),
            http_responder(std::make_unique<http_responder::channel>(
                std::move(Response))));
  }

private:
  /// Does what the base class does, with another parser.
  auto onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer)
      -> void override {
    Peer->putData(ParserData, std::make_shared<recording_parser>(
                                  getMaxRequestSize(), *RecordedHeaders));
  }

  http_server::handler Handler;
  /// Shared by the copies of this handler, one for each thread.
  std::shared_ptr<const std::vector<std::string>> RecordedHeaders;
};

} // namespace

class http_server::endpoint {
public:
  explicit endpoint(const Pistache::Address &Address) : Endpoint(Address) {}

  Pistache::Http::Endpoint Endpoint;
};

http_server::http_server(http_server_settings Settings)
    : Settings(std::move(Settings)) {}

http_server::~http_server() { stop(); }

auto http_server::start(handler Handler) -> result<void> {
  const auto Split = splitAddress(Settings.Listen);
  if (!Split)
    return Split.error();
  try {
    const Pistache::Address Address(Split.value().Host,
                                    Pistache::Port(Split.value().Port));
    Endpoint = std::make_unique<endpoint>(Address);
    const auto Options = http::Endpoint::options()
                             .threads(Settings.Threads)
                             .flags(Pistache::Tcp::Options::NoDelay |
                                    Pistache::Tcp::Options::ReuseAddr |
                                    Pistache::Tcp::Options::CloseOnExec)
                             .maxRequestSize(Settings.MaxRequestBytes)
                             .maxResponseSize(64 * Settings.MaxRequestBytes);
    Endpoint->Endpoint.init(Options);
    Endpoint->Endpoint.setHandler(std::make_shared<request_handler>(
        std::move(Handler), Settings.RecordedHeaders));
    Endpoint->Endpoint.serveThreaded();
  } catch (const std::exception &Error) {
    Endpoint.reset();
    return fail(result_code::AddressInUse,
                Settings.Listen + ": " + Error.what());
  }
  return succeed();
}

auto http_server::stop() -> void {
  if (!Endpoint)
    return;
  Endpoint->Endpoint.shutdown();
  Endpoint.reset();
}

auto splitAddress(const address &Address) -> result<host_port> {
  const auto Colon = Address.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return fail(result_code::BadSetting,
                "'" + Address + "' is not of the form IP:port");
  host_port Split;
  Split.Host = Address.substr(0, Colon);
  const char *const First = Address.data() + Colon + 1;
  const char *const Last = Address.data() + Address.size();
  const auto [End, Error] = std::from_chars(First, Last, Split.Port);
  if (Error != std::errc{} || End != Last)
    return fail(result_code::BadSetting,
                "'" + Address + "' has an invalid port number");
  return Split;
}

} // namespace tarragon::transport
