#pragma once

#include "query/internal/querypart.h"
#include "world/types/coverage.h"

#include <vector>

namespace tarragon::query {

/// The parts of one snapshot of a query, and the one place that counts them.
/// Each step costs the same however many parts there are.
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

  /// A pending part has its answer.
  auto answer(std::size_t Index, std::vector<item> Items) -> void;

  /// A pending part has failed; \p Proven: this try did not run.
  auto fail(std::size_t Index, attempt_outcome Reason, bool Proven) -> void;

  /// A part that failed by a crash or the loss of its dispatcher is pending
  /// again, by its next try.
  auto retry(std::size_t Index) -> void;

  auto anyPending() const -> bool { return Pending > 0; }
  auto anyLacksVersion() const -> bool { return LackVersion > 0; }
  auto allLackVersion() const -> bool { return LackVersion == Parts.size(); }

  /// Whether some part answered, is pending, or failed without proof that
  /// none of its tries ran.
  auto mayHaveRun() const -> bool { return ProvenNotRun < Parts.size(); }

  /// Asked and answered only; missing shards aren't named.
  auto counts() const -> coverage { return {Parts.size(), Answered, {}}; }

  /// The whole coverage. A part still pending is missing because its time ran
  /// out.
  auto wholeCoverage() const -> coverage;

  /// The items of answered parts in the order of services and shards.
  auto takeItems() -> std::vector<item>;

  /// Whether some part answered with \p Count items or more.
  auto anyFull(std::size_t Count) const -> bool;

private:
  std::vector<query_part> Parts;
  std::size_t Pending = 0;
  std::size_t Answered = 0;
  std::size_t LackVersion = 0;
  std::size_t ProvenNotRun = 0; ///< failed, no try ran
};

} // namespace tarragon::query
