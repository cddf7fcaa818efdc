#pragma once

#include <cstddef>

namespace tarragon::store {

/// The operations of the object API.
enum class call_kind { Get, Put, Remove, List, Watch, Instances };

/// The number of enumerators of call_kind.
constexpr std::size_t CallKinds = 6;

/// Returns whether a call of \p Kind modifies the store.
constexpr auto isWrite(const call_kind Kind) -> bool {
  switch (Kind) {
  case call_kind::Put:
  case call_kind::Remove:
    return true;
  case call_kind::Get:
  case call_kind::List:
  case call_kind::Watch:
  case call_kind::Instances:
    return false;
  }
  return false;
}

} // namespace tarragon::store
