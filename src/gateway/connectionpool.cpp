#include "gateway/connectionpool.h"

#include <algorithm>

namespace tarragon::gateway {

namespace {

constexpr milliseconds ConnectTimeout{400};
constexpr milliseconds MaxAbandonedTime{250};
/// Idle time within which a target doesn't close a connection.
constexpr milliseconds MaxFreshIdleTime{150};

} // namespace

connection_pool::connection_pool(boost::asio::io_context &NewLoop,
                                 http_connection::endpoint NewTarget,
                                 const int NewMaxConnections,
                                 std::shared_ptr<receive_budget> NewMemory)
    : Loop(NewLoop), Target(std::move(NewTarget)),
      MaxConnections(NewMaxConnections), Memory(std::move(NewMemory)) {}

connection_pool::~connection_pool() {
  for (const pooled_connection &Each : Connections)
    if (Each.Connection->isFree() || Each.AbandonedUntil)
      Each.Connection->close();
}

auto connection_pool::removeUnusable(const time_point Now) -> void {
  std::erase_if(Connections, [&](const pooled_connection &Each) {
    if (Each.Connection->isIdle() && !Each.Connection->isReusable(Now))
      Each.Connection->close();
    return !Each.Connection->isOpen();
  });
}

auto connection_pool::openNew() -> connection_pointer {
  if (isFull())
    return nullptr;
  auto Connection =
      std::make_shared<http_connection>(Loop, Target, ConnectTimeout, Memory);
  Connections.push_back({Connection, std::nullopt});
  Connection->open();
  return Connection;
}

auto connection_pool::openProbe(const time_point Now) -> connection_pointer {
  removeUnusable(Now);
  if (isFull()) {
    closeOneFree();
    removeUnusable(Now);
  }
  return openNew();
}

auto connection_pool::acquire(const bool Fresh, const time_point Now)
    -> connection_pointer {
  removeUnusable(Now);
  pooled_connection *Best = nullptr;
  for (pooled_connection &Each : Connections) {
    const http_connection &Connection = *Each.Connection;
    if (!Connection.isFree())
      continue;
    if (Fresh && Connection.isIdle() &&
        Now - Connection.idleSince() > MaxFreshIdleTime)
      continue;
    if (!Best || Connection.idleSince() > Best->Connection->idleSince())
      Best = &Each;
  }
  if (Best) {
    Best->AbandonedUntil = std::nullopt;
    return Best->Connection;
  }
  if (isFull()) {
    closeOldestAbandoned();
    removeUnusable(Now);
  }
  if (isFull() && Fresh) {
    closeOneFree();
    removeUnusable(Now);
  }
  return openNew();
}

auto connection_pool::closeOldestAbandoned() -> void {
  const pooled_connection *Oldest = nullptr;
  for (const pooled_connection &Each : Connections)
    if (Each.AbandonedUntil &&
        (!Oldest || *Each.AbandonedUntil < *Oldest->AbandonedUntil))
      Oldest = &Each;
  if (Oldest)
    Oldest->Connection->close();
}

auto connection_pool::closeOneFree() -> void {
  const auto Free = std::find_if(
      Connections.begin(), Connections.end(),
      [](const pooled_connection &Each) { return Each.Connection->isFree(); });
  if (Free != Connections.end())
    Free->Connection->close();
}

auto connection_pool::keepAbandoned(const connection_pointer &Connection,
                                    const time_point Now) -> void {
  const auto Pooled = std::find_if(Connections.begin(), Connections.end(),
                                   [&](const pooled_connection &Each) {
                                     return Each.Connection == Connection;
                                   });
  // The pool of an earlier incarnation of the target opened the others.
  if (Pooled == Connections.end() || !Connection->isConnected()) {
    Connection->close();
    return;
  }
  Pooled->AbandonedUntil = Now + MaxAbandonedTime;
}

auto connection_pool::warm() -> void {
  if (Connections.empty())
    openNew();
}

auto connection_pool::sweep(const time_point Now) -> void {
  bool Unresponsive = false;
  for (pooled_connection &Each : Connections) {
    if (!Each.AbandonedUntil)
      continue;
    if (Each.Connection->isFree()) {
      Each.AbandonedUntil = std::nullopt;
    } else if (Now >= *Each.AbandonedUntil) {
      Unresponsive = Unresponsive || Each.Connection->isOpen();
      Each.Connection->close();
    }
  }
  if (Unresponsive)
    closeFree();
  removeUnusable(Now);
}

auto connection_pool::abandonConnecting() -> void {
  const auto Copy = Connections; // the handlers may use the pool
  for (const pooled_connection &Each : Copy)
    Each.Connection->abandonConnecting();
}

auto connection_pool::closeFree() -> void {
  for (const pooled_connection &Each : Connections)
    if (Each.Connection->isFree())
      Each.Connection->close();
}

} // namespace tarragon::gateway
