#include "transport/workerpool.h"

namespace tarragon::transport {

worker_pool::worker_pool(const int Count) {
  for (int Index = 0; Index < Count; ++Index)
    Threads.emplace_back([this] { run(); });
}

worker_pool::~worker_pool() { stop(); }

auto worker_pool::post(job Job) -> void {
  {
    const std::lock_guard Lock(Mutex);
    ReadyJobs.push_back(std::move(Job));
  }
  Changed.notify_one();
}

auto worker_pool::postAt(const time_point When, job Job) -> void {
  bool Earliest = false;
  {
    const std::lock_guard Lock(Mutex);
    const auto Added = ScheduledJobs.emplace(When, std::move(Job));
    Earliest = Added == ScheduledJobs.begin();
  }
  if (Earliest)
    Changed.notify_one();
}

auto worker_pool::stop() -> void {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  for (std::thread &Thread : Threads)
    if (Thread.joinable())
      Thread.join();
}

auto worker_pool::run() -> void {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    const job Job = takeJob(Lock);
    if (!Job)
      continue;
    Lock.unlock();
    Job();
    Lock.lock();
  }
}

auto worker_pool::takeJob(std::unique_lock<std::mutex> &Lock) -> job {
  const auto Now = std::chrono::steady_clock::now();
  if (!ScheduledJobs.empty() && ScheduledJobs.begin()->first <= Now) {
    job Job = std::move(ScheduledJobs.begin()->second);
    ScheduledJobs.erase(ScheduledJobs.begin());
    // Wakes another thread to wait for the next timed job.
    if (!ScheduledJobs.empty())
      Changed.notify_one();
    return Job;
  }
  if (!ReadyJobs.empty()) {
    job Job = std::move(ReadyJobs.front());
    ReadyJobs.pop_front();
    return Job;
  }
  if (ScheduledJobs.empty()) {
    Changed.wait(Lock);
    return {};
  }
  // A copy, as another thread may erase the entry while this one waits.
  const time_point When = ScheduledJobs.begin()->first;
  Changed.wait_until(Lock, When);
  return {};
}

} // namespace tarragon::transport
