#pragma once

#include <cstdint>
#include <string>

namespace tarragon::store {

using object_version = std::uint64_t; ///< 0: the object doesn't exist

/// A value of the platform's object API.
struct stored_object {
  std::string Key;
  object_version Version = 0;
  std::string Value;
};

} // namespace tarragon::store
