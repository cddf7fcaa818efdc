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

constexpr std::size_t MaxPendingBytes = 65536;
constexpr milliseconds MaxLingerTime{1000};
/// Added to the idle timeout, so that a request sent just before it elapses is
/// still received.
constexpr milliseconds IdleGrace{400};

/// Returns the HTTP status for a request that the parser rejected.
auto statusOf(const boost::system::error_code &Error) -> unsigned {
  if (Error == http::error::header_limit)
    return 431;
  if (Error == http::error::body_limit)
    return 413;
  return 400;
}

auto hasOneHost(const http::request<http::string_body> &Head) -> bool {
  return Head.count(http::field::host) == 1 && !Head[http::field::host].empty();
}

/// Returns whether the headers define the body length unambiguously. Other
/// requests are rejected, as they permit request smuggling.
auto hasUnambiguousLength(const http::request_parser<http::string_body> &Parser)
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
      StateSince(std::chrono::steady_clock::now()) {}

auto caller_session::open() -> void {
  internal::setOptions(Socket);
  startRequest();
  read();
}

auto caller_session::startRequest() -> void {
  Parser.emplace();
  Parser->eager(true);
  State = state::Reading;
  RequestStarted = false;
  HeaderHandled = false;
  StateSince = std::chrono::steady_clock::now();
}

auto caller_session::beginRequest() -> void {
  // A kept connection may have been idle since before the version in force.
  Limits = Server.limits();
  Parser->header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
  Parser->body_limit(Limits.BodyBytes);
  RequestStarted = true;
  StateSince = std::chrono::steady_clock::now();
}

auto caller_session::read() -> void {
  if (ReadOutstanding || State == state::Closed ||
      Pending.size() > Server.limits().HeaderBytes + MaxPendingBytes)
    return;
  ReadOutstanding = true;
  auto Self = shared_from_this();
  Socket.async_read_some(
      asio::buffer(Buffer),
      [Self](const boost::system::error_code &Error, const std::size_t Count) {
        Self->ReadOutstanding = false;
        Self->onRead(Error, Count);
      });
}

auto caller_session::onRead(const boost::system::error_code &Error,
                            const std::size_t Count) -> void {
  if (State == state::Closed)
    return;
  if (Error)
    return disconnect();
  if (State != state::Lingering)
    Pending.append(Buffer.data(), Count);
  if (State == state::Reading)
    consume();
  read();
}

auto caller_session::disconnect() -> void {
  const disconnect_handler OnDisconnect = std::move(DisconnectHandler);
  close();
  if (OnDisconnect)
    OnDisconnect();
}

auto caller_session::consume() -> void {
  while (State == state::Reading && !Pending.empty()) {
    if (!RequestStarted)
      beginRequest();
    boost::system::error_code Error;
    const std::size_t Used =
        Parser->put(asio::buffer(Pending.data(), Pending.size()), Error);
    Pending.erase(0, Used);
    if (Error && Error != http::error::need_more)
      return refuse(statusOf(Error), "request refused");
    if (Parser->is_header_done() && !HeaderHandled)
      onHeader();
    if (State != state::Reading)
      return;
    if (Parser->is_done())
      return onRequest();
    if (Used == 0)
      return;
  }
}

auto caller_session::onHeader() -> void {
  HeaderHandled = true;
  if (!hasUnambiguousLength(*Parser))
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
  HttpVersion = Message.version();
  if (!hasOneHost(Message))
    return refuse(400, "one host is required");
  caller_request Request;
  Request.Method = std::string(Message.method_string());
  Request.RequestTarget = std::string(Message.target());
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

auto caller_session::answer(caller_answer Answer, const bool CloseAfter)
    -> void {
  if (State != state::Waiting)
    return;
  DisconnectHandler = nullptr;
  if (CloseAfter || !KeepAlive)
    ClosesAfterAnswer = true;
  State = state::Writing;
  write(internal::writeAnswer(Answer, ClosesAfterAnswer));
}

auto caller_session::refuse(const unsigned Status,
                            const std::string_view Reason,
                            header_fields Headers) -> void {
  caller_answer Answer;
  Answer.Status = Status;
  Answer.Headers = std::move(Headers);
  Answer.Body = std::string(Reason) + "\n";
  ClosesAfterAnswer = true;
  State = state::Writing;
  write(internal::writeAnswer(Answer, true));
}

auto caller_session::refuseUnfinished() -> void {
  if (State == state::Reading && RequestStarted)
    // Another instance can take it at once.
    refuse(503, "this instance is stopping", {{"Retry-After", "0"}});
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
  if (ClosesAfterAnswer)
    return linger();
  startRequest();
  consume();
  read();
}

auto caller_session::linger() -> void {
  // Closing a socket with unread input resets the connection, and the caller
  // may lose the answer.
  State = state::Lingering;
  StateSince = std::chrono::steady_clock::now();
  Pending.clear();
  boost::system::error_code Ignored;
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  read();
}

auto caller_session::setDisconnectHandler(disconnect_handler Handler) -> void {
  DisconnectHandler = std::move(Handler);
}

auto caller_session::closeIfTimedOut(const time_point Now) -> void {
  switch (State) {
  case state::Reading:
    if (!RequestStarted) {
      if (Now - StateSince > Server.limits().IdleTimeout + IdleGrace)
        linger();
      return;
    }
    if (!Parser->is_header_done() && Now - StateSince > Limits.HeaderTimeout)
      return refuse(408, "request took too long");
    if (Now - StateSince > Limits.IdleTimeout + IdleGrace)
      disconnect();
    return;
  case state::Lingering:
    if (Now - StateSince > MaxLingerTime)
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
  DisconnectHandler = nullptr;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

} // namespace tarragon::gateway
