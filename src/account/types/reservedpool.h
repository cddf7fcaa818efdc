#pragma once

#include <cstdint>

namespace tarragon::account {

/// The share of the rates that is reserved for instances which became silent
/// at about the same time. They are probably connected to each other and use it
/// together.
struct reserved_pool {
  std::uint32_t Id = 0;
  double Share = 0; ///< of the rates
};

} // namespace tarragon::account
