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

/// One connection of a caller, with one request at a time.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
  using gone_handler = std::function<void()>;

  caller_session(boost::asio::ip::tcp::socket Socket, http_server &Server);

  auto open() -> void;

  /// Answers the request at hand, once. \p LastOne ends the connection after.
  auto answer(caller_answer Answer, bool LastOne = false) -> void;

  /// To be called when the caller leaves before its answer.
  auto setGoneHandler(gone_handler Handler) -> void;

  /// Ends the connection if it outstayed what the limits allow.
  auto sweep(time_point Now) -> void;

  /// The next answer is the last one on this connection.
  auto endAfterAnswer() -> void { Ending = true; }

  auto close() -> void;

  /// The caller's address, or nothing once it has left.
  auto peer() const -> std::string;

  auto isOpen() const -> bool { return State != state::Closed; }

private:
  enum class state {
    Reading,   ///< of a request, or between two
    Waiting,   ///< a request is at hand
    Writing,   ///< its answer
    Lingering, ///< for the caller's end, after the last answer
    Closed
  };
  using request_parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  auto startRequest() -> void;
  auto read() -> void;
  auto onRead(const boost::system::error_code &Error, std::size_t Count)
      -> void;
  auto consume() -> void;
  auto continueBody() -> void;
  auto onRequest() -> void;
  auto refuse(unsigned Status, std::string_view Reason) -> void;
  auto write(std::string Bytes) -> void;
  auto onWritten(const boost::system::error_code &Error) -> void;
  auto linger() -> void;
  auto leave() -> void;

  boost::asio::ip::tcp::socket Socket;
  http_server &Server;
  state State = state::Reading;
  bool Ending = false;
  bool SawBytes = false;  ///< of the request being read
  bool Reads = false;     ///< a read is under way
  bool Continued = false; ///< told the caller to send its body
  bool KeepAlive = true;  ///< the caller's wish
  unsigned Version = 11;
  std::optional<request_parser> Parser;
  std::string Pending;
  std::string Output;
  std::array<char, 4096> Buffer;
  time_point Since; ///< of the present state, or of a request's first byte
  gone_handler GoneHandler;
};

} // namespace tarragon::gateway
