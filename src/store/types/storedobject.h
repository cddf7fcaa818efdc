#pragma once

#include <cstdint>
#include <string>

namespace tarragon::store {

/// The version of an object; 0 if it doesn't exist.
using object_version = std::uint64_t;

/// An object in the platform's object store.
struct stored_object {
  std::string Key;
  object_version Version = 0;
  std::string Value;
};

} // namespace tarragon::store
