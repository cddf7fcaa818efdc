#pragma once

#include "bench/core/httpexchange.h"
#include "global/types/time.h"

#include <functional>
#include <map>
#include <memory>

namespace tarragon::bench {

/// Timers and HTTP calls on one thread. Callbacks run within runUntil() and
/// runUntilIdle().
class event_loop {
public:
  using callback = std::function<void()>;
  using completion = std::function<void(const http_answer &)>;

  /// \p ConnectionsPerHost 0 is no limit.
  explicit event_loop(long ConnectionsPerHost = 0);
  ~event_loop();
  event_loop(const event_loop &) = delete;
  auto operator=(const event_loop &) -> event_loop & = delete;

  auto runAt(time_point When, callback Callback) -> void;
  auto start(const http_exchange &Exchange, completion Done) -> void;

  /// Serves until \p End.
  auto runUntil(time_point End) -> void;

  /// Serves until neither timers nor calls are left, or \p Latest.
  auto runUntilIdle(time_point Latest) -> void;

  /// One exchange, waited for.
  auto call(const http_exchange &Exchange) -> http_answer;

private:
  class transfers;

  auto step(time_point Latest) -> void;

  std::multimap<time_point, callback> Timers;
  std::unique_ptr<transfers> Transfers;
};

} // namespace tarragon::bench
