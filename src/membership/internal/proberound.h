#pragma once

#include "membership/internal/memberrecord.h"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace tarragon::membership {

/// The order in which live members are probed: each once a round, shuffled for
/// every round. Not thread-safe.
class probe_round {
public:
  using records = std::map<instance_id, member_record>;

  /// Returns the next live member, or nullopt if there is none.
  auto next(const records &Records, std::mt19937_64 &Random)
      -> std::optional<instance_id>;

  /// Inserts a new member at a random position of the current round.
  auto insert(const instance_id &Id, std::mt19937_64 &Random) -> void;

  /// Returns up to \p Count distinct random live members other than \p Except.
  auto sample(const records &Records, std::size_t Count,
              const instance_id &Except, std::mt19937_64 &Random) const
      -> std::vector<instance_id>;

private:
  auto nextOfRound(const records &Records) -> std::optional<instance_id>;

  std::vector<instance_id> Order;
  std::size_t Position = 0;
};

} // namespace tarragon::membership
