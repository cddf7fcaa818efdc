#pragma once

#include "gateway/httpconnection.h"

#include <memory>
#include <optional>
#include <vector>

namespace tarragon::gateway {

/// The connections to one target: limits their number, reuses idle ones and
/// keeps those whose abandoned exchange may still complete.
class connection_pool {
public:
  using connection_pointer = std::shared_ptr<http_connection>;

  connection_pool(boost::asio::io_context &Loop,
                  http_connection::endpoint Target, int MaxConnections,
                  std::shared_ptr<receive_budget> Memory);
  ~connection_pool();

  auto setMaxConnections(int NewMaxConnections) -> void {
    MaxConnections = NewMaxConnections;
  }

  /// Returns a connection for one exchange, or null if the limit is reached.
  /// With \p Fresh, a connection that was idle for long is not used, as the
  /// target may have closed it.
  auto acquire(bool Fresh, time_point Now) -> connection_pointer;

  /// Keeps \p Connection, whose exchange was abandoned by its request, open for
  /// a limited time, so that it can be reused once the exchange completes.
  auto keepAbandoned(const connection_pointer &Connection, time_point Now)
      -> void;

  /// Opens a connection that finds out whether the target still runs, in place
  /// of a closed or free one if the limit is reached; returns null if all are
  /// in use.
  auto openProbe(time_point Now) -> connection_pointer;

  /// Opens a connection in advance if there is none.
  auto warm() -> void;

  /// Closes connections whose abandoned exchange did not complete in time, and
  /// those that can't be reused. To be called periodically.
  auto sweep(time_point Now) -> void;

  /// Closes the connections without an exchange, as they may be dead.
  auto closeFree() -> void;

  /// Gives up the connections that aren't established yet.
  auto abandonConnecting() -> void;

  auto size() const -> std::size_t { return Connections.size(); }

private:
  /// Opens a connection; returns null if the limit is reached.
  auto openNew() -> connection_pointer;

  struct pooled_connection {
    connection_pointer Connection;
    /// When an abandoned exchange is given up; nothing if the connection is
    /// free or in use by a request.
    std::optional<time_point> AbandonedUntil;
  };

  /// Removes closed connections, and closes idle ones that can't be reused.
  auto removeUnusable(time_point Now) -> void;

  /// Closes the connection whose exchange was abandoned first, if any.
  auto closeOldestAbandoned() -> void;

  /// Closes one free connection, if any.
  auto closeOneFree() -> void;

  auto isFull() const -> bool {
    return static_cast<int>(Connections.size()) >= MaxConnections;
  }

  boost::asio::io_context &Loop;
  http_connection::endpoint Target;
  int MaxConnections;
  std::shared_ptr<receive_budget> Memory;
  std::vector<pooled_connection> Connections;
};

} // namespace tarragon::gateway
