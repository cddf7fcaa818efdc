#pragma once

#include "global/types/time.h"

#include <json/forwards.h>

namespace tarragon::gateway {

class gateway;

/// Adds the client accounts in force to \p Status, without their keys: the 256
/// with the most requests, then in the order of the configuration, and how many
/// others there are. Adds nothing if requests need no key.
auto addAccounts(gateway &Gateway, time_point Now, Json::Value &Status) -> void;

} // namespace tarragon::gateway
