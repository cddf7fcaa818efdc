#pragma once

#include "config/types/confighead.h"

#include <optional>
#include <string>

namespace tarragon::config {

/// Returns the JSON text of `config/head`.
auto writeHead(const config_head &Head) -> std::string;

/// Parses the JSON text of `config/head`; returns nothing when it is invalid.
auto readHead(const std::string &Text) -> std::optional<config_head>;

} // namespace tarragon::config
