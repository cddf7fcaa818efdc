#pragma once

#include "world/types/deployment.h"

#include <string>
#include <vector>

namespace tarragon::config {

/// Returns the differences between the client accounts of two deployments, one
/// line each. They never contain a key.
auto diffAccounts(const deployment &Old, const deployment &New)
    -> std::vector<std::string>;

} // namespace tarragon::config
