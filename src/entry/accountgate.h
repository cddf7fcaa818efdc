#pragma once

#include "account/accounttable.h"
#include "entry/types/calleridentity.h"
#include "world/types/deployment.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace tarragon::entry {

/// Finds the client accounts of callers by their keys. Thread-safe.
class account_gate {
public:
  /// \p Seed is unpredictable for callers.
  explicit account_gate(std::uint64_t Seed) : Seed(Seed) {}

  /// Identifies the caller of a request with the headers \p Keys among the
  /// accounts of \p Deployment, which may be null or have none.
  auto identify(const std::shared_ptr<const deployment> &Deployment,
                const std::vector<std::string> &Keys) -> caller_identity;

private:
  /// The accounts of one version, so that a change replaces them as a whole.
  struct version {
    std::shared_ptr<const deployment> Deployment;
    account::account_table Table;
  };

  auto versionOf(const std::shared_ptr<const deployment> &Deployment)
      -> std::shared_ptr<const version>;

  const std::uint64_t Seed;
  std::mutex Mutex; // rank 48
  std::shared_ptr<const version> Last;
};

} // namespace tarragon::entry
