#pragma once

#include "account/types/usagereport.h"

#include <json/forwards.h>

#include <optional>

namespace tarragon::fleet::internal {

/// Hashes of accounts are written as hexadecimal text, since not every reader
/// keeps numbers above 2^53.
auto writeUsage(const account::usage_report &Report) -> Json::Value;

/// Returns nullopt when \p Value is not a report. Skips invalid rows.
auto readUsage(const Json::Value &Value)
    -> std::optional<account::usage_report>;

} // namespace tarragon::fleet::internal
