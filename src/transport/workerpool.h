#pragma once

#include "global/types/time.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace tarragon::transport {

/// Threads that run short jobs, at once or at a given time. Jobs run in no
/// fixed order; what they share carries its own lock.
class worker_pool {
public:
  using job = std::function<void()>;

  explicit worker_pool(int Threads);
  ~worker_pool();

  auto post(job Job) -> void;
  auto postAt(time_point When, job Job) -> void;

  /// Runs no further job and joins the threads.
  auto stop() -> void;

private:
  auto run() -> void;
  auto takeJob(std::unique_lock<std::mutex> &Lock) -> job;

  std::mutex Mutex; // rank 80: held for the queues only
  std::condition_variable Changed;
  std::deque<job> Ready;
  std::multimap<time_point, job> Later;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace tarragon::transport
