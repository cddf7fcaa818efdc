#pragma once

#include "gateway/types/callerrequest.h"
#include "route/types/callerlimits.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_set>

namespace tarragon::gateway {

class caller_session;

/// Takes connections at one address and hands their requests on.
class http_server {
public:
  using endpoint = boost::asio::ip::tcp::endpoint;
  using session_pointer = std::shared_ptr<caller_session>;
  using request_handler =
      std::function<void(const session_pointer &, caller_request)>;

  http_server(boost::asio::io_context &Loop, request_handler Handler);
  ~http_server();

  /// Starts to listen; false when the address can't be had.
  auto listen(const endpoint &Address) -> bool;

  /// New limits hold from the next request on. An idle limit that shrinks is
  /// kept for connections that callers may believe in still.
  auto setLimits(const route::caller_limits &Limits) -> void;
  auto limits() const -> const route::caller_limits & { return Limits; }

  /// From now on each answer is the last one of its connection.
  auto beginEnding() -> void;

  /// Connections that are open.
  auto connections() const -> std::size_t { return Sessions.size(); }

  /// Hands a request on; for sessions.
  auto handle(const session_pointer &Session, caller_request Request) -> void;

private:
  auto accept() -> void;
  auto sweep() -> void;

  boost::asio::io_context &Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer SweepTimer;
  request_handler Handler;
  route::caller_limits Limits;
  std::unordered_set<session_pointer> Sessions;
  bool LimitsKnown = false;
  bool Ending = false;
};

} // namespace tarragon::gateway
