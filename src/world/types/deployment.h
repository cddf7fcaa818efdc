#pragma once

#include "global/types/time.h"
#include "route/types/account.h"
#include "world/types/contract.h"
#include "world/types/service.h"

#include <optional>
#include <vector>

namespace tarragon {

/// One accepted configuration: everything that operators declare.
struct deployment {
  /// Maximum number of live instances, including overlapping replacements.
  int MaxInstances = 8;
  milliseconds AddressLifetime{5000};
  milliseconds PoisonHold{600000};
  std::vector<service> Services;
  std::vector<contract> Contracts;
  /// Client accounts; nothing: requests need no key.
  std::optional<std::vector<route::account>> Accounts;

  auto operator==(const deployment &) const -> bool = default;

  /// Returns the service named \p Id, or null.
  auto findService(const service_id &Id) const -> const service * {
    for (const service &Service : Services)
      if (Service.Id == Id)
        return &Service;
    return nullptr;
  }

  /// Returns the contract named \p Id, or null.
  auto findContract(const contract_id &Id) const -> const contract * {
    for (const contract &Contract : Contracts)
      if (Contract.Id == Id)
        return &Contract;
    return nullptr;
  }
};

} // namespace tarragon
