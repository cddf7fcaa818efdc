#pragma once

#include "store/types/callkind.h"

#include <array>
#include <cstdint>

namespace tarragon::store {

/// Calls of one kind since the start of the client.
struct call_count {
  std::uint64_t Sent = 0;     ///< left for the platform
  std::uint64_t Failed = 0;   ///< of these, without a usable reply
  std::uint64_t HeldBack = 0; ///< not sent: budget used up or circuit open
};

/// The counts by kind.
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
