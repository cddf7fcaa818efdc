#pragma once

#include "bench/core/httpexchange.h"
#include "global/types/time.h"

#include <functional>
#include <map>
#include <memory>

namespace tarragon::bench {

/// Runs timers and HTTP exchanges on the calling thread. Callbacks run within
/// runUntil(), runUntilIdle() and call().
class event_loop {
public:
  using callback = std::function<void()>;
  using completion = std::function<void(const http_answer &)>;

  /// A \p ConnectionsPerHost of 0 sets no limit.
  explicit event_loop(long ConnectionsPerHost = 0);
  ~event_loop();
  event_loop(const event_loop &) = delete;
  auto operator=(const event_loop &) -> event_loop & = delete;

  /// Schedules \p Callback for \p When.
  auto runAt(time_point When, callback Callback) -> void;

  /// Starts an exchange; \p Done is called when it has ended.
  auto start(const http_exchange &Exchange, completion Done) -> void;

  /// Runs the loop until \p End.
  auto runUntil(time_point End) -> void;

  /// Runs the loop until no timer or exchange is pending, or until \p Latest.
  auto runUntilIdle(time_point Latest) -> void;

  /// Runs the loop until \p Exchange has ended and returns its answer.
  auto call(const http_exchange &Exchange) -> http_answer;

private:
  class transfers;

  auto step(time_point Latest) -> void;

  std::multimap<time_point, callback> Timers;
  std::unique_ptr<transfers> Transfers;
};

} // namespace tarragon::bench
