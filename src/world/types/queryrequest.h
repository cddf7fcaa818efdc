#pragma once

#include "world/types/ids.h"

#include <optional>
#include <string>

namespace tarragon {

/// A caller's request, as read from the caller API.
struct query_request {
  std::string RequestId; ///< chosen by the caller or made by the instance
  contract_id Contract;
  std::string Body;
  std::string Key;                   ///< ByKey contracts
  std::optional<std::string> Ticket; ///< non-repeatable contracts
  std::optional<std::string> Continuation;
};

} // namespace tarragon
