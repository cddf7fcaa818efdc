#pragma once

#include "config/internal/faultlist.h"
#include "world/types/service.h"

#include <set>
#include <string>

namespace tarragon::config {

/// Reader of services, which checks that target ids and addresses are unique in
/// the file.
class service_reader {
public:
  /// Up to \p MaxInstances instances share the connections of each target.
  service_reader(int MaxInstances, fault_list &Faults)
      : MaxInstances(MaxInstances), Faults(Faults) {}

  /// Reads one service; adds its faults to the list.
  auto read(const YAML::Node &Node) -> service;

private:
  auto readLimits(const YAML::Node &Node, const std::string &Context)
      -> target_limits;
  auto readGroups(const YAML::Node &Node, service &Service) -> void;
  auto readGroup(const YAML::Node &Position, const std::string &Name,
                 const YAML::Node &Targets, service &Service) -> void;
  auto readTarget(const YAML::Node &Node, const group_id &Group) -> target;
  auto readCompactTarget(const YAML::Node &Node, const group_id &Group)
      -> target;
  auto checkTarget(const YAML::Node &Node, const target &Target) -> void;

  int MaxInstances;
  fault_list &Faults;
  std::set<target_id> TargetIds;
  std::set<address> Addresses;
};

} // namespace tarragon::config
