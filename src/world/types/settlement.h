#pragma once

#include "global/types/time.h"
#include "world/types/heldversion.h"
#include "world/types/item.h"
#include "world/types/subrequest.h"

#include <vector>

namespace tarragon {

/// How a subrequest, or one attempt at a target, ended.
enum class attempt_outcome {
  Answered,     ///< ran; echoed the right version, shard and attempt
  WrongVersion, ///< proven not run: the target lacks the version
  Shed,         ///< proven not run: rejected before running
  NotSent,      ///< proven not run: no connection, or never sent
  Leaving,      ///< proven not run: the target is draining
  Crashed,      ///< the connection broke while the request ran
  Corrupt,      ///< truncated or malformed body, or wrong echo
  Refused,      ///< ran; the target returned an error
  Expired,      ///< the deadline passed; may have run
  NotRun        ///< abandoned by the dispatcher before any attempt ran
};

/// Returns whether \p Outcome proves that the target did not run the request.
constexpr auto provesNotRun(const attempt_outcome Outcome) -> bool {
  switch (Outcome) {
  case attempt_outcome::WrongVersion:
  case attempt_outcome::Shed:
  case attempt_outcome::NotSent:
  case attempt_outcome::Leaving:
  case attempt_outcome::NotRun:
    return true;
  case attempt_outcome::Answered:
  case attempt_outcome::Crashed:
  case attempt_outcome::Corrupt:
  case attempt_outcome::Refused:
  case attempt_outcome::Expired:
    return false;
  }
  return false;
}

/// The end of a subrequest, sent by the dispatcher to the query's coordinator.
struct settlement {
  subrequest_id Id;
  attempt_outcome Outcome = attempt_outcome::NotRun;
  bool ProvenNotRun = false; ///< for all attempts of this subrequest
  index_version Version = 0; ///< echoed by the target
  std::size_t Shard = 0;     ///< echoed by the target
  std::size_t ShardCount = 0;
  std::vector<item> Items;        ///< by descending score, ties by key
  target_id Target;               ///< the last one tried; empty if none
  std::vector<held_version> Held; ///< by that target; empty if not reported
  std::vector<target_id> CrashedTargets;
  std::uint32_t Attempts = 0; ///< sent to targets, hedges included
};

} // namespace tarragon
