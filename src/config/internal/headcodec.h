#pragma once

#include "config/types/confighead.h"

#include <optional>
#include <string>

namespace tarragon::config {

/// The JSON text of `config/head`.
auto writeHead(const config_head &Head) -> std::string;

/// Reads it back; nothing when it is not a head.
auto readHead(const std::string &Text) -> std::optional<config_head>;

} // namespace tarragon::config
