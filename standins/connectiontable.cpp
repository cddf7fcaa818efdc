#include "standins/connectiontable.h"

#include <algorithm>
#include <utility>

#include <sys/socket.h>

namespace tarragon::standins {

auto connection_table::add(const std::uint64_t Connection, const int Socket)
    -> bool {
  const std::lock_guard Lock(Mutex);
  const bool Accepted = MaxOpen == 0 || Counts.Open < MaxOpen;
  Entries[Connection] = {Socket, false, Accepted};
  if (!Accepted) {
    ++Counts.Refused;
    ::shutdown(Socket, SHUT_RDWR);
    return false;
  }
  ++Counts.Opened;
  ++Counts.Open;
  Counts.Peak = std::max(Counts.Peak, Counts.Open);
  return true;
}

auto connection_table::remove(const std::uint64_t Connection) -> void {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Connection);
  if (Found == Entries.end())
    return;
  if (Found->second.Counted)
    --Counts.Open;
  Entries.erase(Found);
}

auto connection_table::markUsed(const std::uint64_t Connection) -> bool {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Connection);
  if (Found == Entries.end())
    return false;
  return !std::exchange(Found->second.Used, true);
}

auto connection_table::sendAndShutDown(const std::uint64_t Connection,
                                       const std::string &Bytes) -> void {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Connection);
  if (Found == Entries.end())
    return;
  if (!Bytes.empty())
    ::send(Found->second.Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  ::shutdown(Found->second.Socket, SHUT_RDWR);
}

auto connection_table::counts() const -> connection_counts {
  const std::lock_guard Lock(Mutex);
  return Counts;
}

} // namespace tarragon::standins
