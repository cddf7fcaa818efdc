#pragma once

#include "gateway/types/exchangeanswer.h"
#include "global/types/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tarragon::gateway {

/// One request to be sent on a connection.
struct exchange_request {
  std::string Bytes;    ///< head and body as sent
  std::string IdHeader; ///< header echoed by the server; empty: unchecked
  std::string Id;
  bool IsHead = false;
};

/// Client connection to a server, for one HTTP exchange at a time. Not
/// thread-safe.
///
/// A response with the id of another request is skipped. Bytes outside of an
/// exchange close the connection, and so does a response that is received
/// before the request was written completely. A response without end fails once
/// it exceeds a limit of its own or the budget that it shares.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
  using handler = std::function<void(exchange_end, exchange_answer)>;
  using closed_handler = std::function<void()>;
  using endpoint = boost::asio::ip::tcp::endpoint;

  /// \p Memory, which may be null, counts the bytes of answers.
  http_connection(boost::asio::io_context &Loop, endpoint Server,
                  milliseconds ConnectTimeout,
                  std::shared_ptr<receive_budget> Memory = nullptr);

  /// Starts connecting; an exchange may be started before it is connected.
  auto open() -> void;

  /// Sends \p Request. \p Handler is called once, unless close() is called
  /// first.
  auto start(exchange_request Request, handler Handler) -> void;

  /// Closes the connection. The handlers are not called afterwards.
  auto close() -> void;

  /// Gives up a connection that isn't established yet: reports an exchange as
  /// not sent. An established one is left as it is.
  auto abandonConnecting() -> void;

  /// Sets the handler that is called if the connection can't be established, or
  /// fails while it has no exchange.
  auto setClosedHandler(closed_handler Handler) -> void;

  auto isOpen() const -> bool { return State != state::Closed; }
  auto isIdle() const -> bool { return State == state::Idle; }

  /// Returns whether the connection is open or connecting, without an exchange.
  auto isFree() const -> bool {
    return State == state::Idle || (State == state::Connecting && !Handler);
  }

  /// Returns whether another exchange may be started at \p Now.
  auto isReusable(time_point Now) const -> bool;
  auto idleSince() const -> time_point { return IdleSince; }
  auto isConnected() const -> bool { return Connected; }

private:
  enum class state { Connecting, Idle, Busy, Closed };
  using response_parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  auto onConnected(const boost::system::error_code &Error) -> void;
  auto send() -> void;
  auto read() -> void;
  auto onRead(const boost::system::error_code &Error, std::size_t Count)
      -> void;
  auto consume() -> void;
  /// Returns whether the answer received so far is within its limits.
  auto isWithinLimits() -> bool;
  auto onAnswer() -> void;
  auto resetParser() -> void;
  auto finish(exchange_end End, exchange_answer Answer) -> void;
  auto fail() -> void;
  /// Closes the connection and reports \p End, or that nothing was sent.
  auto failWith(exchange_end End) -> void;

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer ConnectTimer;
  endpoint Server;
  milliseconds ConnectTimeout;
  state State = state::Connecting;
  bool Connected = false;
  bool Answered = false;       ///< at least one exchange was completed
  bool RequestWritten = false; ///< the request was written completely
  bool MayReuse = true;        ///< may be reused after the current exchange
  int SkippedAnswers = 0;
  exchange_request Request;
  handler Handler;
  closed_handler ClosedHandler;
  std::optional<response_parser> Parser;
  std::shared_ptr<receive_budget> Memory;
  std::shared_ptr<receive_budget::lease> Lease; ///< of the current answer
  std::string Pending; ///< received bytes that are not parsed yet
  std::array<char, 4096> Buffer;
  time_point IdleSince;
  /// From the server's Keep-Alive header, minus a margin.
  std::optional<time_point> ReuseBefore;
};

} // namespace tarragon::gateway
