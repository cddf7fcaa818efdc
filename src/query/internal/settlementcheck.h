#pragma once

#include "query/internal/querypart.h"

namespace tarragon::query {

/// Returns the settlement's outcome, or Corrupt for an answer whose echoed
/// version or shard isn't the requested one or that has a NaN score.
auto checkedOutcome(const settlement &Settlement, const query_part &Part,
                    index_version Version) -> attempt_outcome;

/// Returns whether the settlement claims that no attempt ran and its outcome
/// doesn't contradict that.
auto isProvenNotRun(const settlement &Settlement) -> bool;

} // namespace tarragon::query
