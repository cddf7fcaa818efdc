#pragma once

#include <string_view>

namespace tarragon::account {

/// Compares a presented value with a secret. The time depends on the length of
/// \p Presented only, so a caller can't find out a prefix of the secret.
auto equalInConstantTime(std::string_view Presented, std::string_view Secret)
    -> bool;

} // namespace tarragon::account
