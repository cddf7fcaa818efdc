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
  for (const connection_pointer &Connection : Connections)
    if (Connection->isFree())
      Connection->close();
  for (const abandoned_exchange &Exchange : Abandoned)
    Exchange.Connection->close();
}

auto connection_pool::removeUnusable(const time_point Now) -> void {
  std::erase_if(Connections, [&](const connection_pointer &Connection) {
    if (Connection->isIdle() && !Connection->isReusable(Now))
      Connection->close();
    return !Connection->isOpen();
  });
}

auto connection_pool::openNew() -> connection_pointer {
  if (static_cast<int>(Connections.size()) >= MaxConnections)
    return nullptr;
  auto Connection =
      std::make_shared<http_connection>(Loop, Target, ConnectTimeout, Memory);
  Connections.push_back(Connection);
  Connection->open();
  return Connection;
}

auto connection_pool::acquire(const bool Fresh, const time_point Now)
    -> connection_pointer {
  removeUnusable(Now);
  connection_pointer Best;
  for (const connection_pointer &Connection : Connections) {
    if (!Connection->isFree())
      continue;
    if (Fresh && Connection->isIdle() &&
        Now - Connection->idleSince() > MaxFreshIdleTime)
      continue;
    if (!Best || Connection->idleSince() > Best->idleSince())
      Best = Connection;
  }
  if (Best)
    return Best;
  if (static_cast<int>(Connections.size()) >= MaxConnections &&
      !Abandoned.empty()) {
    Abandoned.front().Connection->close();
    Abandoned.erase(Abandoned.begin());
    removeUnusable(Now);
  }
  if (static_cast<int>(Connections.size()) >= MaxConnections && Fresh) {
    const auto Idle =
        std::find_if(Connections.begin(), Connections.end(),
                     [](const connection_pointer &C) { return C->isFree(); });
    if (Idle != Connections.end()) {
      (*Idle)->close();
      removeUnusable(Now);
    }
  }
  return openNew();
}

auto connection_pool::keepAbandoned(const connection_pointer &Connection,
                                    const time_point Now) -> void {
  if (!Connection->isConnected()) {
    Connection->close();
    return;
  }
  Abandoned.push_back({Connection, Now + MaxAbandonedTime});
}

auto connection_pool::warm() -> void {
  if (Connections.empty())
    openNew();
}

auto connection_pool::sweep(const time_point Now) -> void {
  bool Unresponsive = false;
  std::erase_if(Abandoned, [&](const abandoned_exchange &Exchange) {
    if (!Exchange.Connection->isOpen() || Exchange.Connection->isFree())
      return true;
    if (Now < Exchange.Until)
      return false;
    Exchange.Connection->close();
    Unresponsive = true;
    return true;
  });
  if (Unresponsive)
    closeFree();
  removeUnusable(Now);
}

auto connection_pool::closeFree() -> void {
  for (const connection_pointer &Connection : Connections)
    if (Connection->isFree())
      Connection->close();
}

} // namespace tarragon::gateway
