#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace tarragon::config {

/// Scheduler of several functions on threads of which only one runs at a time.
/// At each step() a seeded random draw selects the next one, so that a run can
/// be reproduced from its seed.
class turn_scheduler {
public:
  explicit turn_scheduler(const std::uint64_t Seed) : Random(Seed) {}

  /// Runs all \p Bodies until they return.
  auto run(const std::vector<std::function<void()>> &Bodies) -> void {
    for (std::size_t Index = 0; Index < Bodies.size(); ++Index)
      Waiting.push_back(Index);
    std::vector<std::thread> Threads;
    Turn = draw();
    for (std::size_t Index = 0; Index < Bodies.size(); ++Index)
      Threads.emplace_back([this, Index, &Bodies] {
        awaitTurn(Index);
        Bodies[Index]();
        finish(Index);
      });
    for (std::thread &Thread : Threads)
      Thread.join();
  }

  /// Lets a randomly drawn body continue; called by the running one.
  auto step() -> void {
    const std::size_t Self = Turn;
    {
      const std::lock_guard Guard(Lock);
      Turn = draw();
    }
    TurnChanged.notify_all();
    awaitTurn(Self);
  }

private:
  auto draw() -> std::size_t {
    return Waiting[std::uniform_int_distribution<std::size_t>(
        0, Waiting.size() - 1)(Random)];
  }

  auto awaitTurn(const std::size_t Self) -> void {
    std::unique_lock Guard(Lock);
    TurnChanged.wait(Guard, [this, Self] { return Turn == Self; });
  }

  auto finish(const std::size_t Self) -> void {
    {
      const std::lock_guard Guard(Lock);
      std::erase(Waiting, Self);
      if (!Waiting.empty())
        Turn = draw();
    }
    TurnChanged.notify_all();
  }

  std::mt19937_64 Random;
  std::mutex Lock;
  std::condition_variable TurnChanged;
  std::vector<std::size_t> Waiting; ///< bodies that have not returned
  std::size_t Turn = 0;
};

} // namespace tarragon::config
