#pragma once

#include "store/types/callkind.h"

#include <array>
#include <cstdint>

namespace tarragon::store {

/// Counters of one kind of call since the client was created.
struct call_count {
  std::uint64_t Sent = 0;   ///< passed the budget and the circuit breaker
  std::uint64_t Failed = 0; ///< of those sent, calls that got no healthy reply
  /// Rejected locally: the budget was exhausted or the circuit open.
  std::uint64_t Suppressed = 0;
};

/// Call counters, one set per kind.
struct call_counts {
  std::array<call_count, CallKinds> ByKind;

  auto of(const call_kind Kind) -> call_count & {
    return ByKind[static_cast<std::size_t>(Kind)];
  }
  auto of(const call_kind Kind) const -> const call_count & {
    return ByKind[static_cast<std::size_t>(Kind)];
  }
};

} // namespace tarragon::store
