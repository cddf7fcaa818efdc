#pragma once

#include <json/forwards.h>

namespace tarragon::gateway {

class gateway;

/// Adds the client accounts in force to \p Status, without their keys: the
/// first 64 in the order of the configuration, and how many others there are.
/// Adds nothing if requests need no key.
auto addAccounts(const gateway &Gateway, Json::Value &Status) -> void;

} // namespace tarragon::gateway
