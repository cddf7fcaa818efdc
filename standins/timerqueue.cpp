#include "standins/timerqueue.h"

namespace tarragon::standins {

timer_queue::timer_queue() : Thread([this] { serve(); }) {}

timer_queue::~timer_queue() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Thread.join();
}

auto timer_queue::runAt(const time_point When, callback Callback) -> void {
  {
    const std::lock_guard Lock(Mutex);
    Waiting.emplace(When, std::move(Callback));
  }
  Changed.notify_all();
}

auto timer_queue::serve() -> void {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    if (Waiting.empty()) {
      Changed.wait(Lock);
      continue;
    }
    const time_point Next = Waiting.begin()->first;
    if (std::chrono::steady_clock::now() < Next) {
      Changed.wait_until(Lock, Next);
      continue;
    }
    const callback Callback = std::move(Waiting.begin()->second);
    Waiting.erase(Waiting.begin());
    Lock.unlock();
    Callback();
    Lock.lock();
  }
}

} // namespace tarragon::standins
