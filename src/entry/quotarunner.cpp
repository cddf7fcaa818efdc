#include "entry/quotarunner.h"

#include "global/hash.h"
#include "transport/workerpool.h"

#include <set>

namespace tarragon::entry {

namespace {

auto now() -> time_point { return std::chrono::steady_clock::now(); }

/// Distinguishes the processes that use an address one after another.
auto processOf(const instance &Instance) -> std::uint64_t {
  return hash64(Instance.Id, Instance.Incarnation);
}

} // namespace

quota_runner::quota_runner(const account::quota_limits &Limits,
                           transport::worker_pool &Pool, send_function Send)
    : Pool(Pool), Send(std::move(Send)), Ledger(Limits) {}

auto quota_runner::setAccounts(const std::vector<route::account> &Accounts)
    -> void {
  {
    const std::lock_guard Lock(Mutex);
    Ledger.setAccounts(Accounts, now());
    if (!Ledger.isActive() || IsTicking)
      return;
    IsTicking = true;
  }
  tick();
}

auto quota_runner::setInstances(const account::quota_peers &NewPeers) -> void {
  const std::lock_guard Lock(Mutex);
  if (Peers == NewPeers)
    return;
  Peers = NewPeers;
  Ledger.setInstances(Peers, now());
}

auto quota_runner::tryAcquire(const std::string &Account)
    -> account::quota_decision {
  const std::lock_guard Lock(Mutex);
  return Ledger.tryAcquire(Account, now());
}

auto quota_runner::refund(const std::string &Account) -> void {
  const std::lock_guard Lock(Mutex);
  Ledger.refund(Account, now());
}

auto quota_runner::onReport(const instance &From,
                            const account::usage_report &Report) -> void {
  std::vector<account::relayed_report> Relays;
  {
    const std::lock_guard Lock(Mutex);
    Ledger.onReport(From.PeerAddress, processOf(From), Report, now());
    Relays = Ledger.takeRelays();
  }
  for (account::relayed_report &Relayed : Relays)
    Send(Relayed.To, std::move(Relayed.Report));
}

auto quota_runner::onLeft(const instance &Peer) -> void {
  const std::lock_guard Lock(Mutex);
  Ledger.onLeft(Peer.PeerAddress, processOf(Peer), now());
}

auto quota_runner::status() -> account::quota_status {
  const std::lock_guard Lock(Mutex);
  return Ledger.status(now());
}

auto quota_runner::tick() -> void {
  const time_point Started = now();
  std::optional<account::usage_report> Report;
  std::set<address> Receivers;
  std::vector<account::relayed_report> Relays;
  {
    const std::lock_guard Lock(Mutex);
    if (!Ledger.isActive()) {
      IsTicking = false;
      return;
    }
    Report = Ledger.makeReport(Started);
    if (Report) {
      Receivers.insert(Peers.Serving.begin(), Peers.Serving.end());
      Receivers.insert(Ledger.guests().begin(), Ledger.guests().end());
      Receivers.erase(Peers.Self);
    }
    Relays = Ledger.takeRelays();
  }
  for (const address &Receiver : Receivers)
    Send(Receiver, *Report);
  for (account::relayed_report &Relayed : Relays)
    Send(Relayed.To, std::move(Relayed.Report));
  Pool.postAt(Started + account::quota_ledger::ReportPeriod,
              [this] { tick(); });
}

} // namespace tarragon::entry
