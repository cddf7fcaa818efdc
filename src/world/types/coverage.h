#pragma once

#include "world/types/ids.h"
#include "world/types/settlement.h"

#include <cstddef>
#include <vector>

namespace tarragon {

/// A shard missing from an answer, and the reason.
struct missing_shard {
  service_id Service;
  std::size_t Shard = 0;
  attempt_outcome Reason = attempt_outcome::Expired;

  auto operator==(const missing_shard &) const -> bool = default;
};

/// The coverage of an answer, counted in shards of its snapshot.
struct coverage {
  std::size_t Asked = 0;
  std::size_t Answered = 0;
  std::vector<missing_shard> Missing; ///< Asked - Answered of them

  auto operator==(const coverage &) const -> bool = default;

  /// Returns whether every shard asked has answered. The only place that
  /// decides it.
  auto complete() const -> bool { return Asked > 0 && Answered == Asked; }

  /// Returns the share of asked shards that answered; 0 if none was asked.
  auto share() const -> double {
    return Asked == 0
               ? 0.0
               : static_cast<double>(Answered) / static_cast<double>(Asked);
  }
};

} // namespace tarragon
