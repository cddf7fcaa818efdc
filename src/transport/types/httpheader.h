#pragma once

#include <string>

namespace tarragon::transport {

/// A header of an HTTP message.
struct http_header {
  std::string Name;
  std::string Value;

  auto operator==(const http_header &) const -> bool = default;
};

} // namespace tarragon::transport
