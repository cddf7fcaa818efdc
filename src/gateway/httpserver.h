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

/// HTTP server for callers: accepts connections at one address and passes their
/// requests to a handler. Runs on one event loop, which also runs the handler,
/// for a process with one thread; transport::http_server has threads of its
/// own. Used by tarragon-entry.
class http_server {
public:
  using endpoint = boost::asio::ip::tcp::endpoint;
  using session_pointer = std::shared_ptr<caller_session>;
  using request_handler =
      std::function<void(const session_pointer &, caller_request)>;

  http_server(boost::asio::io_context &Loop, request_handler Handler);
  ~http_server();

  /// Starts listening; returns false if the address can't be bound.
  auto listen(const endpoint &Address) -> bool;

  /// Sets the limits for all further requests. The idle timeout only grows:
  /// callers may still rely on the longer one for open connections.
  auto setLimits(const route::caller_limits &Limits) -> void;
  auto limits() const -> const route::caller_limits & { return Limits; }

  /// Closes each connection after its next answer from now on.
  auto closeAfterAnswers() -> void;

  /// Stops accepting connections; open ones go on.
  auto stopAccepting() -> void;

  /// Refuses all requests that are still being received.
  auto refuseUnfinished() -> void;

  /// Returns whether a request is being received, processed or answered.
  auto isBusy() const -> bool;

  /// Returns the number of open connections.
  auto connections() const -> std::size_t { return Sessions.size(); }

  /// Passes a request to the handler; called by the sessions.
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
  bool ClosesAfterAnswer = false;
};

} // namespace tarragon::gateway
