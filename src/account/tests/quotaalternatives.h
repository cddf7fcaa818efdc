#pragma once

#include "account/quotaparts.h"
#include "account/tests/quotasimulation.h"
#include "global/hash.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

namespace tarragon::account::tests {

using account_at = std::pair<std::size_t, std::string>;

/// Each of the serving instances has an equal share of the rate and of the
/// capacity. The whole tolerance is capacity, as no report is late.
class fixed_shares {
public:
  fixed_shares(const quota_limits &NewLimits, const std::size_t NewServing)
      : Limits(NewLimits), Serving(static_cast<double>(NewServing)) {}

  auto admits(const std::size_t Instance, const route::account &Account,
              const time_point Now) -> bool {
    const auto Parts =
        quota_parts::of(Limits, Account.RatePerSecond, Account.Burst);
    const double Capacity =
        (Account.Burst + Parts.Capacity + Parts.Delay + Parts.Floors) / Serving;
    shared_bucket &Bucket = Buckets
                                .try_emplace({Instance, Account.Name},
                                             Account.RatePerSecond / Serving,
                                             std::max(1.0, Capacity), Now)
                                .first->second;
    Bucket.refill({}, Now);
    if (Bucket.level() < 1)
      return false;
    Bucket.take(1);
    return true;
  }

private:
  quota_limits Limits;
  double Serving;
  std::map<account_at, shared_bucket> Buckets;
};

/// An owner, selected by hashing, holds the bucket of an account. An instance
/// borrows tokens in advance, for twice its usage in 200 ms. A token that is
/// lost with a datagram is not lent again.
class lent_tokens {
public:
  lent_tokens(const quota_limits &NewLimits, const std::size_t NewServing,
              quota_simulation &NewSimulation)
      : Limits(NewLimits), Serving(NewServing), Simulation(NewSimulation) {}

  auto admits(const std::size_t Instance, const route::account &Account,
              const time_point Now) -> bool {
    borrower &Borrower =
        Borrowers.try_emplace({Instance, Account.Name}, borrower{1, 0, Now, {}})
            .first->second;
    const double Passed =
        std::chrono::duration<double>(Now - Borrower.UsedAt).count();
    Borrower.Rate = Borrower.Rate * std::exp(-Passed / Memory) + 1 / Memory;
    Borrower.UsedAt = Now;
    const bool IsAdmitted = Borrower.Tokens >= 1;
    if (IsAdmitted)
      Borrower.Tokens -= 1;
    const double Wanted = std::ceil(1 + 2 * Ahead * Borrower.Rate);
    if (Borrower.Tokens < Wanted / 2 && Now >= Borrower.AskAgainAt) {
      Borrower.AskAgainAt = Now + std::chrono::milliseconds(100);
      ask(Instance, Account, Wanted - Borrower.Tokens);
    }
    return IsAdmitted;
  }

private:
  static constexpr double Memory = 0.5;
  static constexpr double Ahead = 0.2; ///< seconds

  struct borrower {
    double Tokens = 0;
    double Rate = 0;
    time_point UsedAt;
    time_point AskAgainAt;
  };

  auto ask(const std::size_t Instance, const route::account &Account,
           const double Count) -> void {
    const std::size_t Owner = hash64(Account.Name) % Serving;
    Simulation.send(Instance, Owner, [=, this] {
      const auto Parts =
          quota_parts::of(Limits, Account.RatePerSecond, Account.Burst);
      shared_bucket &Bucket =
          Buckets
              .try_emplace(Account.Name, Account.RatePerSecond,
                           Account.Burst + Parts.Capacity, Simulation.now())
              .first->second;
      Bucket.refill({}, Simulation.now());
      const double Lent = std::min(Count, std::floor(Bucket.level()));
      if (Lent < 1)
        return;
      Bucket.take(Lent);
      Simulation.send(Owner, Instance, [=, this] {
        Borrowers.at({Instance, Account.Name}).Tokens += Lent;
      });
    });
  }

  quota_limits Limits;
  std::size_t Serving;
  quota_simulation &Simulation;
  std::map<account_at, borrower> Borrowers;
  std::map<std::string, shared_bucket> Buckets;
};

} // namespace tarragon::account::tests
