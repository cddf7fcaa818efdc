#pragma once

#include "account/types/reservedpool.h"
#include "global/types/time.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace tarragon::account {

/// A token bucket that several instances take from. The parts of silent
/// instances are kept apart: they may use them where this instance can't see
/// it. Levels may be below zero.
class shared_bucket {
public:
  /// The shares of the heard and of the silent instances.
  struct shares {
    double Heard = 1;
    std::vector<reserved_pool> Pools;
  };

  shared_bucket(const double NewRate, const double NewCapacity,
                const time_point Now)
      : Rate(NewRate), Capacity(NewCapacity), Level(NewCapacity), At(Now) {}

  /// Adds the tokens since the last call, at most \p MaxRate of them a second
  /// to the level. Below the share, it may still hold one token.
  auto refill(const shares &Shares, const time_point Now,
              const double MaxRate = std::numeric_limits<double>::infinity())
      -> void {
    if (Now <= At)
      return;
    const double Tokens =
        Rate * std::chrono::duration<double>(Now - At).count();
    At = Now;
    const double Heard = std::min(Shares.Heard, MaxRate / Rate);
    const double MinCapacity = Heard < Shares.Heard ? 1 : 0;
    Level = std::min(std::max(Capacity * Heard, MinCapacity),
                     Level + Tokens * Heard);
    // Without the capacity: release() needs all that silent instances could
    // use, as their usage is taken from it later.
    for (const reserved_pool &Pool : Shares.Pools)
      reserved(Pool.Id) += Tokens * Pool.Share;
  }

  auto take(const double Tokens) -> void { Level -= Tokens; }
  auto lower(const double NewLevel) -> void {
    Level = std::min(Level, NewLevel);
  }
  auto reset(const double NewLevel) -> void {
    Level = NewLevel;
    Reserved.clear();
    Unused.clear();
  }

  /// Reserves \p Part of the level in \p Pool for an instance that became
  /// silent.
  auto reserve(const std::uint32_t Pool, const double Part) -> void {
    reserved(Pool) += Level * Part;
    Level -= Level * Part;
  }
  auto takeReserved(const std::uint32_t Pool, const double Tokens) -> void {
    reserved(Pool) -= Tokens;
  }
  /// Returns \p Part of \p Pool to the level; 1 removes the pool.
  auto release(const reserved_pool &Pool, const double Part) -> void {
    const double Tokens =
        std::min(reserved(Pool.Id), Capacity * Pool.Share) * Part;
    Level += Tokens;
    reserved(Pool.Id) -= Tokens;
    if (Part < 1)
      return;
    if (Unused.size() >= MaxUnused)
      Unused.erase(Unused.begin());
    Unused.push_back({Pool.Id, std::max(0.0, reserved(Pool.Id))});
    std::erase_if(Reserved,
                  [&Pool](const tokens &Each) { return Each.Pool == Pool.Id; });
  }
  /// Takes tokens that an instance used while it was silent, but that are known
  /// only after its pool was released. What the pool had beyond the released
  /// tokens covers them, as far as \p ViewLevel, the level that the instance
  /// sees, allows.
  auto takeLate(const std::uint32_t Pool, const double Tokens,
                const double ViewLevel) -> void {
    const double Uncovered = Level - Tokens;
    for (tokens &Each : Unused) {
      if (Each.Pool != Pool || Tokens <= 0)
        continue;
      const double Covered = std::min(Tokens, Each.Count);
      Each.Count -= Covered;
      Level = std::min(Uncovered + Covered, std::max(Uncovered, ViewLevel));
      return;
    }
    Level = Uncovered;
  }

  auto setLimit(const double NewRate, const double NewCapacity) -> void {
    Rate = NewRate;
    Capacity = NewCapacity;
    Level = std::min(Level, Capacity);
  }

  auto level() const -> double { return Level; }
  /// Returns the level with the tokens that are reserved for silent instances.
  auto wholeLevel(const std::vector<reserved_pool> &Pools) const -> double {
    double Whole = Level;
    for (const reserved_pool &Pool : Pools)
      for (const tokens &Each : Reserved)
        if (Each.Pool == Pool.Id)
          Whole += std::min(Each.Count, Capacity * Pool.Share);
    return Whole;
  }
  auto rate() const -> double { return Rate; }
  auto capacity() const -> double { return Capacity; }

private:
  static constexpr std::size_t MaxUnused = 8;

  struct tokens {
    std::uint32_t Pool = 0;
    double Count = 0;
  };

  auto reserved(const std::uint32_t Pool) -> double & {
    for (tokens &Each : Reserved)
      if (Each.Pool == Pool)
        return Each.Count;
    return Reserved.emplace_back(tokens{Pool, 0}).Count;
  }

  double Rate;
  double Capacity;
  double Level;
  std::vector<tokens> Reserved;
  std::vector<tokens> Unused; ///< left of released pools
  time_point At;
};

} // namespace tarragon::account
