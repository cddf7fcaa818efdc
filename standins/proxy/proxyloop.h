#pragma once

#include "standins/proxy/proxyfaults.h"
#include "standins/proxy/relay.h"
#include "standins/proxy/sockets.h"

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <random>
#include <vector>

namespace tarragon::standins {

/// Forwards connections from one address to another and injects faults, on the
/// thread that calls run().
class proxy_loop {
public:
  proxy_loop(address Listen, address To, std::uint64_t Seed);

  /// Returns false if it cannot listen on the address.
  auto open() -> bool;
  /// Forwards connections until stop() is called.
  auto run() -> void;
  /// Makes run() return. May be called from any thread.
  auto stop() -> void;

  /// May be called from any thread, as may setFaults().
  auto faults() const -> proxy_faults;
  auto setFaults(proxy_faults Faults) -> void;

  /// Closes all open connections. May be called from any thread.
  auto cutAll() -> void;
  auto connectionCount() const -> std::size_t { return Count; }

private:
  auto step() -> void;
  auto applyRefusal(const proxy_faults &Faults) -> void;
  auto acceptAll() -> void;
  auto advanceAll(const std::vector<pollfd> &Polls, const proxy_faults &Faults)
      -> void;
  auto waitTime(const proxy_faults &Faults, time_point Now) const
      -> milliseconds;
  auto wake() const -> void;

  address Listen;
  address To;
  std::mt19937_64 Random;
  socket_handle Listener;
  socket_handle WakeRead;
  socket_handle WakeWrite;
  std::list<relay> Relays;
  mutable std::mutex Mutex; // rank: innermost
  proxy_faults Faults;
  bool CutRequested = false;
  std::atomic<std::size_t> Count{0};
  std::atomic<bool> Stopping{false};
};

} // namespace tarragon::standins
