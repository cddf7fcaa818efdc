#pragma once

#include "standins/httpserver.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace tarragon::standins {

/// The open connections of a server. A socket is only touched while its
/// connection is in the table, so that a reused descriptor is never hit.
class connection_table {
public:
  explicit connection_table(std::size_t Most) : Most(Most) {}

  /// False when there are too many; the connection is then shut down.
  auto add(std::uint64_t Connection, int Socket) -> bool;
  auto remove(std::uint64_t Connection) -> void;

  /// Whether this is the first request of \p Connection.
  auto takeFirst(std::uint64_t Connection) -> bool;

  /// Writes \p Bytes past the server and shuts the connection down.
  auto breakOff(std::uint64_t Connection, const std::string &Bytes) -> void;
  auto counts() const -> connection_counts;

private:
  struct entry {
    int Socket = -1;
    bool Used = false;
    bool Counted = true;
  };

  mutable std::mutex Mutex; // rank: innermost
  std::size_t Most;
  std::unordered_map<std::uint64_t, entry> Entries;
  connection_counts Counts;
};

} // namespace tarragon::standins
