#pragma once

#include "admission/types/cancelattempt.h"
#include "admission/types/settlesubrequest.h"
#include "admission/types/startattempt.h"

#include <variant>
#include <vector>

namespace tarragon::admission {

/// An action that the code around a dispatcher carries out for it.
using dispatch_action =
    std::variant<start_attempt, cancel_attempt, settle_subrequest>;
using dispatch_actions = std::vector<dispatch_action>;

} // namespace tarragon::admission
