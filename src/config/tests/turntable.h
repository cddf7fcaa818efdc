#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace tarragon::config {

/// Runs several functions on threads of which only one moves at a time. At
/// each step() a seeded draw decides who moves next, so that a run repeats
/// exactly with its seed.
class turntable {
public:
  explicit turntable(const std::uint64_t Seed) : Random(Seed) {}

  /// Runs all \p Bodies to their ends.
  auto run(const std::vector<std::function<void()>> &Bodies) -> void {
    for (std::size_t Index = 0; Index < Bodies.size(); ++Index)
      Waiting.push_back(Index);
    std::vector<std::thread> Threads;
    Turn = draw();
    for (std::size_t Index = 0; Index < Bodies.size(); ++Index)
      Threads.emplace_back([this, Index, &Bodies] {
        awaitTurn(Index);
        Bodies[Index]();
        leave(Index);
      });
    for (std::thread &Thread : Threads)
      Thread.join();
  }

  /// Lets another body move; called by the one that moves.
  auto step() -> void {
    const std::size_t Self = Turn;
    {
      const std::lock_guard Guard(Lock);
      Turn = draw();
    }
    Moved.notify_all();
    awaitTurn(Self);
  }

private:
  auto draw() -> std::size_t {
    return Waiting[std::uniform_int_distribution<std::size_t>(
        0, Waiting.size() - 1)(Random)];
  }

  auto awaitTurn(const std::size_t Self) -> void {
    std::unique_lock Guard(Lock);
    Moved.wait(Guard, [this, Self] { return Turn == Self; });
  }

  auto leave(const std::size_t Self) -> void {
    {
      const std::lock_guard Guard(Lock);
      std::erase(Waiting, Self);
      if (!Waiting.empty())
        Turn = draw();
    }
    Moved.notify_all();
  }

  std::mt19937_64 Random;
  std::mutex Lock;
  std::condition_variable Moved;
  std::vector<std::size_t> Waiting; ///< bodies that have not ended
  std::size_t Turn = 0;
};

} // namespace tarragon::config
