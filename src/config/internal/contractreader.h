#pragma once

#include "config/internal/faultlist.h"
#include "world/types/contract.h"
#include "world/types/deployment.h"

namespace tarragon::config {

class mapping_reader;

/// Reader of contracts, which checks their references to the services of the
/// same file.
class contract_reader {
public:
  contract_reader(const deployment &Deployment, fault_list &Faults)
      : Deployment(Deployment), Faults(Faults) {}

  /// Reads one contract; adds its faults to the list.
  auto read(const YAML::Node &Node) -> contract;

private:
  auto readChoices(mapping_reader &Reader, contract &Contract) -> void;
  auto readNumbers(mapping_reader &Reader, contract &Contract) -> void;
  auto readServices(const YAML::Node &Node, contract &Contract) -> void;
  auto readObjective(const YAML::Node &Node, const std::string &Context)
      -> objective;
  auto checkTimesAndShares(mapping_reader &Reader, const contract &Contract)
      -> void;
  auto checkMerge(mapping_reader &Reader, const contract &Contract) -> void;

  const deployment &Deployment;
  fault_list &Faults;
};

} // namespace tarragon::config
