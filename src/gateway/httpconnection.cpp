#include "gateway/httpconnection.h"

#include "gateway/internal/sockets.h"

#include <boost/asio/write.hpp>

#include <charconv>
#include <utility>

namespace tarragon::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t MaxHeaderBytes = 65536;
constexpr std::uint64_t MaxBodyBytes = 16 * 1024 * 1024;
constexpr int MaxSkippedAnswers = 4;
/// A connection is not reused in this time before the end that the server has
/// announced for it: the server might close it with a request under way.
constexpr milliseconds KeepAliveMargin{700};

auto copyAnswer(http::response<http::string_body> Message) -> exchange_answer {
  exchange_answer Answer;
  Answer.Status = Message.result_int();
  Answer.Reason = std::string(Message.reason());
  for (const auto &Field : Message)
    Answer.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Answer.Body = std::move(Message.body());
  return Answer;
}

/// Returns the timeout of the Keep-Alive header, if it has one.
auto keepAliveTimeout(const http::fields &Fields)
    -> std::optional<milliseconds> {
  const auto Value = Fields[http::field::keep_alive];
  const auto At = Value.find("timeout=");
  if (At == boost::beast::string_view::npos)
    return std::nullopt;
  const auto Digits = Value.substr(At + 8);
  int Seconds = 0;
  const auto Read =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  if (Read.ec != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

} // namespace

http_connection::http_connection(asio::io_context &Loop, endpoint NewServer,
                                 const milliseconds NewConnectTimeout,
                                 std::shared_ptr<receive_budget> NewMemory)
    : Socket(Loop), ConnectTimer(Loop), Server(std::move(NewServer)),
      ConnectTimeout(NewConnectTimeout), Memory(std::move(NewMemory)) {}

auto http_connection::open() -> void {
  boost::system::error_code Error;
  Socket.open(Server.protocol(), Error);
  if (!Error)
    internal::setOptions(Socket);
  auto Self = shared_from_this();
  ConnectTimer.expires_after(ConnectTimeout);
  ConnectTimer.async_wait([Self](const boost::system::error_code &Stopped) {
    if (!Stopped && !Self->Connected)
      Self->fail();
  });
  Socket.async_connect(Server, [Self](const boost::system::error_code &Result) {
    Self->onConnected(Result);
  });
}

auto http_connection::onConnected(const boost::system::error_code &Error)
    -> void {
  if (State == state::Closed)
    return;
  ConnectTimer.cancel();
  if (Error)
    return fail();
  Connected = true;
  IdleSince = std::chrono::steady_clock::now();
  State = Handler ? state::Busy : state::Idle;
  if (Handler)
    send();
  read();
}

auto http_connection::start(exchange_request NewRequest, handler NewHandler)
    -> void {
  Request = std::move(NewRequest);
  Handler = std::move(NewHandler);
  SkippedAnswers = 0;
  if (!Connected)
    return;
  State = state::Busy;
  send();
}

auto http_connection::send() -> void {
  RequestWritten = false;
  resetParser();
  auto Self = shared_from_this();
  asio::async_write(Socket, asio::buffer(Request.Bytes),
                    [Self](const boost::system::error_code &Error,
                           std::size_t) { Self->RequestWritten = !Error; });
}

auto http_connection::resetParser() -> void {
  Parser.emplace();
  Parser->header_limit(MaxHeaderBytes);
  Parser->body_limit(MaxBodyBytes);
  Parser->skip(Request.IsHead);
}

auto http_connection::read() -> void {
  auto Self = shared_from_this();
  Socket.async_read_some(
      asio::buffer(Buffer),
      [Self](const boost::system::error_code &Error, const std::size_t Count) {
        Self->onRead(Error, Count);
      });
}

auto http_connection::onRead(const boost::system::error_code &Error,
                             const std::size_t Count) -> void {
  if (State == state::Closed)
    return;
  if (Error) {
    boost::system::error_code ParseError;
    // A response without a length is complete only after an orderly shutdown.
    if (Error == asio::error::eof && State == state::Busy && Parser &&
        Parser->got_some()) {
      MayReuse = false;
      Parser->put_eof(ParseError);
      if (!ParseError && Parser->is_done())
        return onAnswer();
    }
    return fail();
  }
  if (State != state::Busy)
    return fail(); // bytes outside of an exchange
  Pending.append(Buffer.data(), Count);
  consume();
  if (State == state::Busy && !isWithinLimits())
    return failWith(exchange_end::TooLong);
  if (State != state::Closed)
    read();
}

auto http_connection::consume() -> void {
  while (State == state::Busy && !Pending.empty()) {
    boost::system::error_code Error;
    const std::size_t Used =
        Parser->put(asio::buffer(Pending.data(), Pending.size()), Error);
    Pending.erase(0, Used);
    if (Error == http::error::header_limit || Error == http::error::body_limit)
      return failWith(exchange_end::TooLong);
    if (Error && Error != http::error::need_more)
      return fail();
    // An eager parser starts the body although the head is refused because of
    // its Content-Length, and allocates that many bytes.
    if (Parser->is_header_done())
      Parser->eager(true);
    if (Parser->is_done()) {
      onAnswer();
      continue;
    }
    if (Used == 0)
      return;
  }
}

auto http_connection::isWithinLimits() -> bool {
  // The parser bounds the head and the body, but not a chunk's extensions or
  // the trailers, which it consumes only as a whole.
  if (Pending.size() > MaxHeaderBytes)
    return false;
  if (!Memory)
    return true;
  if (!Lease)
    Lease = std::make_shared<receive_budget::lease>(Memory);
  return Lease->resize(Pending.size() + Parser->get().body().size());
}

auto http_connection::onAnswer() -> void {
  const auto &Head = Parser->get();
  if (Head.result_int() < 200) {
    resetParser();
    return;
  }
  if (!Request.IdHeader.empty()) {
    const auto Id = Head.find(Request.IdHeader);
    if (Id != Head.end() && Id->value() != Request.Id) {
      MayReuse = false;
      if (++SkippedAnswers > MaxSkippedAnswers || Parser->need_eof())
        return fail();
      resetParser();
      return;
    }
  }
  MayReuse = MayReuse && RequestWritten && Pending.empty() &&
             Head.keep_alive() && !Parser->need_eof();
  const auto Now = std::chrono::steady_clock::now();
  if (const auto Time = keepAliveTimeout(Head))
    ReuseBefore = Now + *Time - KeepAliveMargin;
  IdleSince = Now;
  exchange_answer Answer = copyAnswer(Parser->release());
  Answer.Memory = std::exchange(Lease, nullptr);
  finish(exchange_end::Complete, std::move(Answer));
}

auto http_connection::finish(const exchange_end End, exchange_answer Answer)
    -> void {
  Answered = true;
  const handler Done = std::move(Handler);
  Handler = nullptr;
  Request = {};
  Parser.reset();
  if (State == state::Busy)
    State = state::Idle;
  if (!MayReuse)
    close();
  if (Done)
    Done(End, std::move(Answer));
}

auto http_connection::fail() -> void {
  const bool GotBytes = Answered || (Parser && Parser->got_some());
  failWith(GotBytes ? exchange_end::Broken : exchange_end::Rejected);
}

auto http_connection::failWith(const exchange_end End) -> void {
  const bool Sent = Connected;
  const handler Done = std::move(Handler);
  const closed_handler Closed = std::move(ClosedHandler);
  close();
  if (Closed && (!Done || !Sent))
    Closed();
  if (Done)
    Done(Sent ? End : exchange_end::NotSent, {});
}

auto http_connection::abandonConnecting() -> void {
  if (State == state::Closed || Connected)
    return;
  ClosedHandler = nullptr; // it would report that the server can't be reached
  failWith(exchange_end::NotSent);
}

auto http_connection::close() -> void {
  if (State == state::Closed)
    return;
  State = state::Closed;
  Lease = nullptr;
  Handler = nullptr;
  ClosedHandler = nullptr;
  ConnectTimer.cancel();
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

auto http_connection::setClosedHandler(closed_handler NewHandler) -> void {
  ClosedHandler = std::move(NewHandler);
}

auto http_connection::isReusable(const time_point Now) const -> bool {
  return State == state::Idle && (!ReuseBefore || Now < *ReuseBefore);
}

} // namespace tarragon::gateway
