#pragma once

#include "account/types/tableproblem.h"
#include "route/types/routeset.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace tarragon::account {

/// Finds the client account of a key in one version of the configuration.
/// Immutable. Keeps 16 bytes for a key besides the accounts themselves.
class account_table {
public:
  /// \p Seed is unpredictable for callers, so that none can construct keys
  /// whose hashes are equal.
  account_table(std::shared_ptr<const route::route_set> Set,
                std::uint64_t Seed);

  /// Returns whether requests need a key at all.
  auto applies() const -> bool { return Set->Accounts.has_value(); }

  /// Returns the account that \p Key belongs to, or null. The account lives as
  /// long as the route set.
  auto find(std::string_view Key) const -> const route::account *;

  /// Returns what operators should correct; the first MaxProblems of them.
  auto problems() const -> const std::vector<table_problem> & {
    return Problems;
  }

  /// Returns the number of problems, also of those not kept.
  auto problemCount() const -> std::size_t { return ProblemCount; }

  static constexpr std::size_t MaxProblems = 16;

private:
  struct entry {
    std::uint64_t Hash;
    std::uint32_t Account; ///< index of the account in the route set
    std::uint32_t Key;     ///< index of the key in the account
  };

  auto keyOf(const entry &Entry) const -> std::string_view;
  auto addProblem(table_problem Problem) -> void;
  auto removeDuplicates() -> void;

  std::shared_ptr<const route::route_set> Set;
  std::uint64_t Seed;
  std::vector<entry> Entries; ///< by hash, then in the order of the list
  std::vector<table_problem> Problems;
  std::size_t ProblemCount = 0;
};

} // namespace tarragon::account
