#include "gateway/callersession.h"

#include "gateway/httpserver.h"
#include "gateway/internal/answerwriter.h"
#include "gateway/internal/sockets.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace tarragon::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t MostPendingBytes = 65536;
constexpr milliseconds LongestLinger{1000};
/// How much longer than stated an idle connection is kept.
constexpr milliseconds IdleGrace{400};

/// The status that tells a caller what is wrong with its request.
auto statusOf(const boost::system::error_code &Error) -> unsigned {
  if (Error == http::error::header_limit)
    return 431;
  if (Error == http::error::body_limit)
    return 413;
  return 400;
}

auto properHost(const http::request<http::string_body> &Head) -> bool {
  return Head.count(http::field::host) == 1 && !Head[http::field::host].empty();
}

/// Whether the end of the request is beyond doubt.
auto properLength(const http::request_parser<http::string_body> &Parser)
    -> bool {
  const auto &Head = Parser.get();
  if (Head.count(http::field::transfer_encoding) > 0)
    return Parser.chunked() && Head.count(http::field::content_length) == 0 &&
           Head.count(http::field::transfer_encoding) == 1;
  return Head.count(http::field::content_length) <= 1;
}

} // namespace

caller_session::caller_session(asio::ip::tcp::socket NewSocket,
                               http_server &NewServer)
    : Socket(std::move(NewSocket)), Server(NewServer),
      Since(std::chrono::steady_clock::now()) {}

auto caller_session::open() -> void {
  internal::setOptions(Socket);
  startRequest();
  read();
}

auto caller_session::startRequest() -> void {
  const route::caller_limits &Limits = Server.limits();
  Parser.emplace();
  Parser->eager(true);
  Parser->header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
  Parser->body_limit(Limits.BodyBytes);
  State = state::Reading;
  SawBytes = false;
  Continued = false;
  Since = std::chrono::steady_clock::now();
}

auto caller_session::read() -> void {
  if (Reads || State == state::Closed || Pending.size() > MostPendingBytes)
    return;
  Reads = true;
  auto Self = shared_from_this();
  Socket.async_read_some(
      asio::buffer(Buffer),
      [Self](const boost::system::error_code &Error, const std::size_t Count) {
        Self->Reads = false;
        Self->onRead(Error, Count);
      });
}

auto caller_session::onRead(const boost::system::error_code &Error,
                            const std::size_t Count) -> void {
  if (State == state::Closed)
    return;
  if (Error)
    return leave();
  if (State != state::Lingering)
    Pending.append(Buffer.data(), Count);
  if (State == state::Reading)
    consume();
  read();
}

auto caller_session::leave() -> void {
  const gone_handler Gone = std::move(GoneHandler);
  close();
  if (Gone)
    Gone();
}

auto caller_session::consume() -> void {
  while (State == state::Reading && !Pending.empty()) {
    if (!SawBytes) {
      SawBytes = true;
      Since = std::chrono::steady_clock::now();
    }
    boost::system::error_code Error;
    const std::size_t Used =
        Parser->put(asio::buffer(Pending.data(), Pending.size()), Error);
    Pending.erase(0, Used);
    if (Error && Error != http::error::need_more)
      return refuse(statusOf(Error), "request refused");
    if (Parser->is_header_done() && !Continued)
      continueBody();
    if (State != state::Reading)
      return;
    if (Parser->is_done())
      return onRequest();
    if (Used == 0)
      return;
  }
}

auto caller_session::continueBody() -> void {
  Continued = true;
  if (!properLength(*Parser))
    return refuse(400, "length of the body is unclear");
  if (Parser->is_done() ||
      !boost::beast::iequals(Parser->get()[http::field::expect],
                             "100-continue"))
    return;
  static const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  auto Self = shared_from_this();
  asio::async_write(Socket, asio::buffer(Continue),
                    [Self](const boost::system::error_code &, std::size_t) {});
}

auto caller_session::onRequest() -> void {
  const bool HasLength =
      Parser->chunked() || Parser->get().count(http::field::content_length) > 0;
  auto Message = Parser->release();
  KeepAlive = Message.keep_alive();
  Version = Message.version();
  if (!properHost(Message))
    return refuse(400, "one host is required");
  caller_request Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  Request.Host = std::string(Message[http::field::host]);
  for (const auto &Field : Message)
    Request.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Body = std::move(Message.body());
  Request.HasBody = HasLength;
  Request.ReceivedAt = std::chrono::steady_clock::now();
  State = state::Waiting;
  Server.handle(shared_from_this(), std::move(Request));
}

auto caller_session::answer(caller_answer Answer, const bool LastOne) -> void {
  if (State != state::Waiting)
    return;
  GoneHandler = nullptr;
  if (LastOne || !KeepAlive)
    Ending = true;
  State = state::Writing;
  write(internal::writeAnswer(Answer, Ending));
}

auto caller_session::refuse(const unsigned Status,
                            const std::string_view Reason) -> void {
  caller_answer Answer;
  Answer.Status = Status;
  Answer.Body = std::string(Reason) + "\n";
  Ending = true;
  State = state::Writing;
  write(internal::writeAnswer(Answer, true));
}

auto caller_session::write(std::string Bytes) -> void {
  Output = std::move(Bytes);
  auto Self = shared_from_this();
  asio::async_write(Socket, asio::buffer(Output),
                    [Self](const boost::system::error_code &Error,
                           std::size_t) { Self->onWritten(Error); });
}

auto caller_session::onWritten(const boost::system::error_code &Error) -> void {
  if (State == state::Closed)
    return;
  if (Error)
    return close();
  if (Ending)
    return linger();
  startRequest();
  consume();
  read();
}

auto caller_session::linger() -> void {
  // Closing with unread bytes would reset the connection under the answer.
  State = state::Lingering;
  Since = std::chrono::steady_clock::now();
  Pending.clear();
  boost::system::error_code Ignored;
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  read();
}

auto caller_session::setGoneHandler(gone_handler Handler) -> void {
  GoneHandler = std::move(Handler);
}

auto caller_session::sweep(const time_point Now) -> void {
  const route::caller_limits &Limits = Server.limits();
  switch (State) {
  case state::Reading:
    if (SawBytes && !Parser->is_header_done() &&
        Now - Since > Limits.HeaderTimeout)
      return refuse(408, "request took too long");
    if (Now - Since > Limits.IdleTimeout + IdleGrace)
      SawBytes ? leave() : linger();
    return;
  case state::Lingering:
    if (Now - Since > LongestLinger)
      close();
    return;
  case state::Waiting:
  case state::Writing:
  case state::Closed:
    return;
  }
}

auto caller_session::peer() const -> std::string {
  boost::system::error_code Error;
  const auto Peer = Socket.remote_endpoint(Error);
  return Error ? std::string() : Peer.address().to_string();
}

auto caller_session::close() -> void {
  if (State == state::Closed)
    return;
  State = state::Closed;
  GoneHandler = nullptr;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

} // namespace tarragon::gateway
