#pragma once

#include "config/internal/faultlist.h"
#include "route/types/account.h"

#include <string>
#include <unordered_map>

namespace tarragon::config {

class mapping_reader;

/// Reader of client accounts, which checks that names and keys are unique in
/// the file. Its faults quote nothing from the file but valid names of
/// accounts: a key may stand in the wrong place.
class account_reader {
public:
  /// Up to \p MaxInstances instances share the quotas.
  account_reader(int MaxInstances, fault_list &Faults)
      : MaxInstances(MaxInstances), Faults(Faults) {}

  /// Reads one account; adds its faults to the list.
  auto read(const YAML::Node &Node) -> route::account;

private:
  auto readQuota(mapping_reader &Reader, route::account &Account) -> void;
  auto readKeys(const YAML::Node &Node, const std::string &Context,
                route::account &Account) -> void;
  auto readKey(const YAML::Node &Node, const std::string &Context,
               route::account &Account) -> void;

  int MaxInstances;
  fault_list &Faults;
  std::unordered_map<std::string, std::string> Holders; ///< account of a key
};

} // namespace tarragon::config
