#pragma once

#include "route/types/account.h"
#include "route/types/route.h"

namespace tarragon::account {

/// Returns the priority of a request on \p Route from \p Account, which may be
/// null; 0 is the highest.
inline auto priorityOf(const route::route &Route, const route::account *Account)
    -> int {
  return Account && Account->Priority ? *Account->Priority : Route.Priority;
}

} // namespace tarragon::account
