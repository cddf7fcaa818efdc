#pragma once

#include "ctl/types/ctloptions.h"
#include "global/result.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tarragon::ctl {

/// Reads an environment variable; nothing when it is not set.
using environment =
    std::function<std::optional<std::string>(const std::string &Name)>;

/// Reads flags and environment; flags go first. BadSetting with one sentence
/// when something is wrong.
auto readCommandLine(const std::vector<std::string> &Arguments,
                     const environment &Environment) -> result<ctl_options>;

/// The text of --help, exit codes included.
auto helpText() -> std::string;

} // namespace tarragon::ctl
