#pragma once

#include "gateway/httpconnection.h"

#include <memory>
#include <vector>

namespace tarragon::gateway {

/// The connections to one target: how many there are, which may be used
/// again, and those whose exchange was given up but may still end well.
class target_pool {
public:
  using connection_pointer = std::shared_ptr<http_connection>;

  target_pool(boost::asio::io_context &Loop, http_connection::endpoint Target,
              int MostConnections);
  ~target_pool();

  auto setMostConnections(int Most) -> void { MostConnections = Most; }

  /// A connection for one exchange, or null when there is no room. With
  /// \p Fresh one on which nothing can have gone wrong while it was idle.
  auto acquire(bool Fresh, time_point Now) -> connection_pointer;

  /// Lets the exchange on \p Connection, given up by its request, come to its
  /// end for a while, so that the connection can be kept.
  auto linger(const connection_pointer &Connection, time_point Now) -> void;

  /// Opens a connection, or gives null when there is no room.
  auto openNew() -> connection_pointer;

  /// Opens a first connection ahead of need.
  auto warm() -> void;

  /// Ends what lingered too long and what can't be used again.
  auto sweep(time_point Now) -> void;

  /// Ends the connections without an exchange: they may have gone silent.
  auto dropIdle() -> void;

  auto size() const -> std::size_t { return Connections.size(); }

private:
  struct lingering {
    connection_pointer Connection;
    time_point Until;
  };

  auto prune(time_point Now) -> void;

  boost::asio::io_context &Loop;
  http_connection::endpoint Target;
  int MostConnections;
  std::vector<connection_pointer> Connections;
  std::vector<lingering> Lingering;
};

} // namespace tarragon::gateway
