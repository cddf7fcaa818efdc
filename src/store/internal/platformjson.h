#pragma once

#include "store/types/roster.h"
#include "store/types/storedobject.h"
#include "store/types/watchreply.h"

#include <optional>
#include <string>
#include <vector>

namespace tarragon::store {

/// Parse the body of a reply. Return nothing if it doesn't have the form that
/// docs/PROTOCOLS.md states.
auto readObject(const std::string &Body) -> std::optional<stored_object>;
auto readVersion(const std::string &Body) -> std::optional<object_version>;
auto readObjects(const std::string &Body)
    -> std::optional<std::vector<stored_object>>;
auto readWatch(const std::string &Body) -> std::optional<watch_reply>;
auto readRoster(const std::string &Body) -> std::optional<roster>;

} // namespace tarragon::store
