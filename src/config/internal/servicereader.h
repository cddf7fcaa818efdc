#pragma once

#include "config/internal/faultlist.h"
#include "world/types/service.h"

#include <set>
#include <string>

namespace tarragon::config {

/// Reads services and sees to it that no target stands in a file twice.
class service_reader {
public:
  /// \p MostInstances share the connections of each target.
  service_reader(int MostInstances, fault_list &Faults)
      : MostInstances(MostInstances), Faults(Faults) {}

  /// Reads one service; faults go to the list.
  auto read(const YAML::Node &Node) -> service;

private:
  auto readLimits(const YAML::Node &Node, const std::string &What)
      -> target_limits;
  auto readGroups(const YAML::Node &Node, service &Service) -> void;
  auto readGroup(const YAML::Node &Place, const std::string &Name,
                 const YAML::Node &Targets, service &Service) -> void;
  auto readTarget(const YAML::Node &Node, const group_id &Group) -> target;
  auto readCompactTarget(const YAML::Node &Node, const group_id &Group)
      -> target;
  auto checkTarget(const YAML::Node &Node, const target &Target) -> void;

  int MostInstances;
  fault_list &Faults;
  std::set<target_id> TargetIds;
  std::set<address> Addresses;
};

} // namespace tarragon::config
