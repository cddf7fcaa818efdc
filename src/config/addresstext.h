#pragma once

#include <string_view>

namespace tarragon::config {

/// Returns whether \p Text is an address of the form "IPv4:port" or
/// "[IPv6]:port" with a port from 1 to 65535.
auto isAddress(std::string_view Text) -> bool;

} // namespace tarragon::config
