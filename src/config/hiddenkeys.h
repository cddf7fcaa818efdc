#pragma once

#include <string>

namespace tarragon::config {

/// Returns the valid deployment file \p Text for display: without comments, and
/// with a text that is no valid key in place of each key of an account.
auto hideKeys(const std::string &Text) -> std::string;

} // namespace tarragon::config
