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

/// Thread pool for short jobs, run immediately or at a given time. Jobs run
/// concurrently and in no fixed order: they must synchronize access to shared
/// data. Thread-safe.
class worker_pool {
public:
  using job = std::function<void()>;

  explicit worker_pool(int Threads);
  ~worker_pool();

  /// Runs \p Job as soon as a thread is free.
  auto post(job Job) -> void;

  /// Runs \p Job at \p When or, if no thread is free then, later.
  auto postAt(time_point When, job Job) -> void;

  /// Discards the jobs that have not started and joins the threads.
  auto stop() -> void;

private:
  auto run() -> void;
  auto takeJob(std::unique_lock<std::mutex> &Lock) -> job;

  std::mutex Mutex; // rank 80: held for access to the queues only
  std::condition_variable Changed;
  std::deque<job> ReadyJobs;
  std::multimap<time_point, job> ScheduledJobs;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace tarragon::transport
