#pragma once

#include "gateway/types/headerfield.h"
#include "gateway/types/headernames.h"

#include <string_view>

namespace tarragon::gateway::internal {

/// The key that a request presents.
struct presented_key {
  std::string_view Key; ///< refers into the headers; empty if there is no key
  /// Why there is no single key, as a fixed text; empty if there is one.
  std::string_view Fault;
};

/// Finds the key header, which must occur exactly once.
auto findKey(const header_fields &Fields, const header_names &Names)
    -> presented_key;

/// Returns whether \p Name is that of the key or the account header, in any
/// case and with underscores for hyphens, which some servers read as the same.
auto isAccountHeader(std::string_view Name, const header_names &Names) -> bool;

} // namespace tarragon::gateway::internal
