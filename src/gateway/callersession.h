#pragma once

#include "gateway/types/callerrequest.h"
#include "route/types/callerlimits.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tarragon::gateway {

class http_server;

/// One connection of a caller. Pipelined requests are processed one at a time,
/// in order.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
  using disconnect_handler = std::function<void()>;

  caller_session(boost::asio::ip::tcp::socket Socket, http_server &Server);

  /// Starts reading requests.
  auto open() -> void;

  /// Sends the answer to the current request; further calls are ignored.
  /// With \p CloseAfter the connection is closed after it.
  auto answer(caller_answer Answer, bool CloseAfter = false) -> void;

  /// Sets the handler that is called if the caller disconnects before it is
  /// answered.
  auto setDisconnectHandler(disconnect_handler Handler) -> void;

  /// Closes the connection if it exceeds a time limit. To be called
  /// periodically.
  auto closeIfTimedOut(time_point Now) -> void;

  /// Closes the connection after the next answer.
  auto closeAfterAnswer() -> void { ClosesAfterAnswer = true; }

  /// Refuses a request that is still being received, as the instance stops.
  auto refuseUnfinished() -> void;

  auto close() -> void;

  /// Returns the caller's IP address, or an empty string once disconnected.
  auto peer() const -> std::string;

  auto isOpen() const -> bool { return State != state::Closed; }

  /// Returns whether a request is being received, processed or answered.
  auto isBusy() const -> bool {
    return State == state::Waiting || State == state::Writing ||
           (State == state::Reading && RequestStarted);
  }

private:
  enum class state {
    Reading,   ///< receives a request, or idle between two requests
    Waiting,   ///< a request is being processed
    Writing,   ///< sends the answer
    Lingering, ///< discards input after the last answer until the caller closes
    Closed
  };
  using request_parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  auto startRequest() -> void;
  /// Begins a request with its first byte: the limits now in force hold for it.
  auto beginRequest() -> void;
  auto read() -> void;
  auto onRead(const boost::system::error_code &Error, std::size_t Count)
      -> void;
  auto consume() -> void;
  /// Refuses a request with an ambiguous body length; sends 100 Continue if
  /// the caller expects it.
  auto onHeader() -> void;
  auto onRequest() -> void;
  auto refuse(unsigned Status, std::string_view Reason,
              header_fields Headers = {}) -> void;
  auto write(std::string Bytes) -> void;
  auto onWritten(const boost::system::error_code &Error) -> void;
  auto linger() -> void;
  auto disconnect() -> void;

  boost::asio::ip::tcp::socket Socket;
  http_server &Server;
  state State = state::Reading;
  bool ClosesAfterAnswer = false;
  bool RequestStarted = false;  ///< bytes of the current request were received
  bool ReadOutstanding = false; ///< an asynchronous read is outstanding
  bool HeaderHandled = false; ///< onHeader() was called for the current request
  bool KeepAlive = true;      ///< as requested by the caller
  unsigned HttpVersion = 11;  ///< as Beast encodes it: 11 is HTTP/1.1
  route::caller_limits Limits; ///< of the current request
  std::optional<request_parser> Parser;
  std::string Pending;
  std::string Output;
  std::array<char, 4096> Buffer;
  /// Start of the current state, or a request's first byte.
  time_point StateSince;
  disconnect_handler DisconnectHandler;
};

} // namespace tarragon::gateway
