#pragma once

#include "world/types/subrequest.h"

#include <functional>

namespace tarragon::admission::internal {

/// Identifies a subrequest among those of all coordinators.
struct request_key {
  instance_id Coordinator;
  subrequest_id Id;

  auto operator==(const request_key &) const -> bool = default;
};

/// Hashes request_key for unordered containers.
struct request_key_hash {
  auto operator()(const request_key &Key) const -> std::size_t {
    const std::uint64_t Numbers = Key.Id.Query * 0x9e3779b97f4a7c15U +
                                  (std::uint64_t{Key.Id.Part} << 32) +
                                  Key.Id.Try;
    return std::hash<std::string>{}(Key.Coordinator) ^ Numbers;
  }
};

} // namespace tarragon::admission::internal
