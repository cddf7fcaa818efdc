#pragma once

#include "query/internal/querypart.h"
#include "world/types/coverage.h"

#include <vector>

namespace tarragon::query {

/// The parts of a query at one snapshot, and the only place that counts them.
/// Each state change takes constant time, whatever the number of parts.
class part_set {
public:
  part_set() = default;
  explicit part_set(std::vector<query_part> Planned)
      : Parts(std::move(Planned)), Pending(Parts.size()) {}

  auto size() const -> std::size_t { return Parts.size(); }
  auto operator[](std::size_t Index) const -> const query_part & {
    return Parts[Index];
  }
  auto all() const -> const std::vector<query_part> & { return Parts; }

  /// Records the answer of a pending part.
  auto markAnswered(std::size_t Index, std::vector<item> Items) -> void;

  /// Records the failure of a pending part. \p TryNotRun: this try is proven
  /// not run.
  auto markFailed(std::size_t Index, attempt_outcome Reason, bool TryNotRun)
      -> void;

  /// Makes a part that failed because its target crashed or its dispatcher was
  /// lost pending again, with the next try number.
  auto retry(std::size_t Index) -> void;

  auto anyPending() const -> bool { return Pending > 0; }
  auto anyLacksVersion() const -> bool { return LackingVersion > 0; }
  auto allLackVersion() const -> bool { return LackingVersion == Parts.size(); }

  /// Returns whether some part has answered, is pending, or failed while one of
  /// its tries isn't proven not run.
  auto mayHaveRun() const -> bool { return ProvenNotRun < Parts.size(); }

  /// Returns the counts of asked and answered shards, without the list of
  /// missing ones.
  auto counts() const -> coverage { return {Parts.size(), Answered, {}}; }

  /// Returns the coverage with the list of missing shards. A part still pending
  /// is listed as Expired.
  auto detailedCoverage() const -> coverage;

  /// Moves out the items of answered parts, in the order of services and
  /// shards.
  auto takeItems() -> std::vector<item>;

  /// Returns whether some part answered with at least \p Count items.
  auto anyHasAtLeast(std::size_t Count) const -> bool;

private:
  std::vector<query_part> Parts;
  std::size_t Pending = 0;
  std::size_t Answered = 0;
  std::size_t LackingVersion = 0;
  std::size_t ProvenNotRun = 0; ///< failed parts, none of whose tries ran
};

} // namespace tarragon::query
