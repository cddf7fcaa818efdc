#pragma once

#include "ctl/types/ctloptions.h"
#include "global/result.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tarragon::ctl {

/// Returns the value of an environment variable, or nothing when it is not set.
using environment =
    std::function<std::optional<std::string>(const std::string &Name)>;

/// Reads flags and environment variables; flags take precedence. Fails with
/// BadSetting and a one-sentence detail when an argument is invalid.
auto readCommandLine(const std::vector<std::string> &Arguments,
                     const environment &Environment) -> result<ctl_options>;

/// Returns the text of --help, including the exit codes.
auto helpText() -> std::string;

} // namespace tarragon::ctl
