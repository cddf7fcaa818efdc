#pragma once

#include "gateway/types/callerrequest.h"
#include "gateway/types/headernames.h"
#include "route/types/account.h"

#include <string>

namespace tarragon::gateway::internal {

/// The client account that a request is forwarded for.
struct forwarded_account {
  bool Applies = false; ///< whether the configuration has accounts
  const route::account *Account = nullptr; ///< null: none is known
};

/// Returns the request line and the headers that are the same in all attempts,
/// without the empty line at the end. Hop-by-hop headers and those that the
/// tier sets itself are left out. Where accounts apply, the caller's key and
/// account headers are replaced by the name of the account.
auto requestHead(const caller_request &Request, const header_names &Names,
                 forwarded_account Account) -> std::string;

} // namespace tarragon::gateway::internal
