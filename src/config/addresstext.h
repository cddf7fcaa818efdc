#pragma once

#include <string_view>

namespace tarragon::config {

/// Whether \p Text is an address: "IPv4:port" or "[IPv6]:port", the port from
/// 1 to 65535.
auto isAddress(std::string_view Text) -> bool;

} // namespace tarragon::config
