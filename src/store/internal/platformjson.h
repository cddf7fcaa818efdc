#pragma once

#include "store/types/roster.h"
#include "store/types/storedobject.h"
#include "store/types/watchreply.h"

#include <optional>
#include <string>
#include <vector>

namespace tarragon::store {

/// Each reads a reply's body; nothing when it is not of the form stated in
/// docs/PROTOCOLS.md.
auto readObject(const std::string &Body) -> std::optional<stored_object>;
auto readVersion(const std::string &Body) -> std::optional<object_version>;
auto readObjects(const std::string &Body)
    -> std::optional<std::vector<stored_object>>;
auto readWatch(const std::string &Body) -> std::optional<watch_reply>;
auto readRoster(const std::string &Body) -> std::optional<roster>;

} // namespace tarragon::store
