#include "gateway/targetpool.h"

#include <algorithm>

namespace tarragon::gateway {

namespace {

constexpr milliseconds ConnectTimeout{400};
constexpr milliseconds LongestLinger{250};
/// A connection used so lately that the target hasn't closed it.
constexpr milliseconds SurelyOpen{150};

} // namespace

target_pool::target_pool(boost::asio::io_context &NewLoop,
                         http_connection::endpoint NewTarget, const int Most)
    : Loop(NewLoop), Target(std::move(NewTarget)), MostConnections(Most) {}

target_pool::~target_pool() {
  for (const connection_pointer &Connection : Connections)
    if (Connection->isFree())
      Connection->close();
  for (const lingering &Lingerer : Lingering)
    Lingerer.Connection->close();
}

auto target_pool::prune(const time_point Now) -> void {
  std::erase_if(Connections, [&](const connection_pointer &Connection) {
    if (Connection->isIdle() && !Connection->reusable(Now))
      Connection->close();
    return !Connection->isOpen();
  });
}

auto target_pool::openNew() -> connection_pointer {
  if (static_cast<int>(Connections.size()) >= MostConnections)
    return nullptr;
  auto Connection =
      std::make_shared<http_connection>(Loop, Target, ConnectTimeout);
  Connections.push_back(Connection);
  Connection->open();
  return Connection;
}

auto target_pool::acquire(const bool Fresh, const time_point Now)
    -> connection_pointer {
  prune(Now);
  connection_pointer Best;
  for (const connection_pointer &Connection : Connections) {
    if (!Connection->isFree())
      continue;
    if (Fresh && Connection->isIdle() &&
        Now - Connection->idleSince() > SurelyOpen)
      continue;
    if (!Best || Connection->idleSince() > Best->idleSince())
      Best = Connection;
  }
  if (Best)
    return Best;
  if (static_cast<int>(Connections.size()) >= MostConnections &&
      !Lingering.empty()) {
    Lingering.front().Connection->close();
    Lingering.erase(Lingering.begin());
    prune(Now);
  }
  if (static_cast<int>(Connections.size()) >= MostConnections && Fresh) {
    const auto Idle =
        std::find_if(Connections.begin(), Connections.end(),
                     [](const connection_pointer &C) { return C->isFree(); });
    if (Idle != Connections.end()) {
      (*Idle)->close();
      prune(Now);
    }
  }
  return openNew();
}

auto target_pool::linger(const connection_pointer &Connection,
                         const time_point Now) -> void {
  if (!Connection->connected()) {
    Connection->close();
    return;
  }
  Lingering.push_back({Connection, Now + LongestLinger});
}

auto target_pool::warm() -> void {
  if (Connections.empty())
    openNew();
}

auto target_pool::sweep(const time_point Now) -> void {
  bool Silent = false;
  std::erase_if(Lingering, [&](const lingering &Lingerer) {
    if (!Lingerer.Connection->isOpen() || Lingerer.Connection->isFree())
      return true;
    if (Now < Lingerer.Until)
      return false;
    Lingerer.Connection->close();
    Silent = true;
    return true;
  });
  if (Silent)
    dropIdle();
  prune(Now);
}

auto target_pool::dropIdle() -> void {
  for (const connection_pointer &Connection : Connections)
    if (Connection->isFree())
      Connection->close();
}

} // namespace tarragon::gateway
