#pragma once

#include "global/types/time.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace tarragon::standins {

/// Runs callbacks at given times on a single thread of its own.
class timer_queue {
public:
  using callback = std::function<void()>;

  timer_queue();
  ~timer_queue();
  timer_queue(const timer_queue &) = delete;
  auto operator=(const timer_queue &) -> timer_queue & = delete;

  /// Schedules \p Callback for \p When, or for immediate execution if \p When
  /// has passed. May be called from any thread.
  auto runAt(time_point When, callback Callback) -> void;

private:
  auto serve() -> void;

  std::mutex Mutex; // rank: innermost; never held while a callback runs
  std::condition_variable Changed;
  std::multimap<time_point, callback> Waiting;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace tarragon::standins
