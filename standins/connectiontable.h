#pragma once

#include "standins/httpserver.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace tarragon::standins {

/// The open connections of a server. A socket is used only while its
/// connection is in the table, so that a descriptor that was reused for
/// another connection is never written to or shut down. Thread-safe.
class connection_table {
public:
  /// At most \p MaxOpen connections are accepted; 0 sets no limit.
  explicit connection_table(std::size_t MaxOpen) : MaxOpen(MaxOpen) {}

  /// Adds a connection. Shuts it down and returns false if the maximum number
  /// of connections is open.
  auto add(std::uint64_t Connection, int Socket) -> bool;
  auto remove(std::uint64_t Connection) -> void;

  /// Marks \p Connection as used. Returns whether this is its first request.
  auto markUsed(std::uint64_t Connection) -> bool;

  /// Writes \p Bytes straight to the socket, bypassing the HTTP server, and
  /// shuts the connection down.
  auto sendAndShutDown(std::uint64_t Connection, const std::string &Bytes)
      -> void;
  auto counts() const -> connection_counts;

private:
  struct entry {
    int Socket = -1;
    bool Used = false;
    bool Counted = true;
  };

  mutable std::mutex Mutex; // rank: innermost
  std::size_t MaxOpen;
  std::unordered_map<std::uint64_t, entry> Entries;
  connection_counts Counts;
};

} // namespace tarragon::standins
