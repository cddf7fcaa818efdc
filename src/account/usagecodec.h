#pragma once

#include "account/types/usagereport.h"

#include <json/forwards.h>

#include <optional>

namespace tarragon::account {

/// Hashes of accounts are written as hexadecimal text, since not every reader
/// keeps numbers above 2^53.
auto writeUsage(const usage_report &Report) -> Json::Value;

/// Returns nullopt when \p Value is not a report. Skips invalid rows.
auto readUsage(const Json::Value &Value) -> std::optional<usage_report>;

} // namespace tarragon::account
