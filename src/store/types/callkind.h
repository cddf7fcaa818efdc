#pragma once

#include <cstddef>

namespace tarragon::store {

/// The calls of the object API.
enum class call_kind { Get, Put, Remove, List, Watch, Instances };

/// How many kinds there are.
constexpr std::size_t CallKinds = 6;

/// Whether a call of \p Kind changes the store.
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
