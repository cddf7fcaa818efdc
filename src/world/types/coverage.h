#pragma once

#include "world/types/ids.h"
#include "world/types/settlement.h"

#include <cstddef>
#include <vector>

namespace tarragon {

/// A shard that an answer lacks, and why.
struct missing_shard {
  service_id Service;
  std::size_t Shard = 0;
  attempt_outcome Reason = attempt_outcome::Expired;

  auto operator==(const missing_shard &) const -> bool = default;
};

/// What an answer rests on, counted in shards of its own snapshot.
struct coverage {
  std::size_t Asked = 0;
  std::size_t Answered = 0;
  std::vector<missing_shard> Missing; ///< Asked - Answered of them

  auto operator==(const coverage &) const -> bool = default;

  /// Whether every shard asked has answered. The one place that decides it.
  auto complete() const -> bool { return Asked > 0 && Answered == Asked; }

  /// Answered over asked; 0 when nothing was asked.
  auto share() const -> double {
    return Asked == 0
               ? 0.0
               : static_cast<double>(Answered) / static_cast<double>(Asked);
  }
};

} // namespace tarragon
