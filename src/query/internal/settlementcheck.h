#pragma once

#include "query/internal/querypart.h"

namespace tarragon::query {

/// The outcome, or Corrupt for an answer that isn't the one asked for.
auto checkedOutcome(const settlement &Settlement, const query_part &Part,
                    index_version Version) -> attempt_outcome;

/// The settlement's word that nothing ran, unless its outcome belies it.
auto provenNotRun(const settlement &Settlement) -> bool;

} // namespace tarragon::query
