#pragma once

#include "account/quotaledger.h"
#include "world/types/instance.h"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace tarragon::transport {
class worker_pool;
}

namespace tarragon::entry {

/// Runner of the quotas of client accounts: exchanges the usage with the other
/// instances while accounts have limits. Thread-safe.
class quota_runner {
public:
  /// Sends a report to the instance at \p To.
  using send_function =
      std::function<void(const address &To, account::usage_report Report)>;

  quota_runner(const account::quota_limits &Limits,
               transport::worker_pool &Pool, send_function Send);

  auto setAccounts(const std::vector<route::account> &Accounts) -> void;
  auto setInstances(const account::quota_peers &Peers) -> void;

  auto tryAcquire(const std::string &Account) -> account::quota_decision;
  /// Returns the token of a request that has not run.
  auto refund(const std::string &Account) -> void;

  /// Records a report that \p From made or relayed, and passes it on to those
  /// that don't receive it directly.
  auto onReport(const instance &From, const account::usage_report &Report)
      -> void;
  /// Releases the share of a peer that leaves.
  auto onLeft(const instance &Peer) -> void;

  auto status() -> account::quota_status;

private:
  auto tick() -> void;

  transport::worker_pool &Pool;
  send_function Send;
  std::mutex Mutex; // rank 43
  account::quota_ledger Ledger;
  account::quota_peers Peers;
  bool IsTicking = false; ///< a timer is scheduled
};

} // namespace tarragon::entry
