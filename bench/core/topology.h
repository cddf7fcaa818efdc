#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace tarragon::bench {

/// A contract of the deployment file.
struct contract_plan {
  contract_id Id;
  std::vector<service_id> Services; ///< empty for all
  std::string Options; ///< "merge: top_k, limit: 10, deadline: 400ms"
};

/// The sizes and limits of the system that an experiment runs.
struct topology {
  std::size_t ServiceCount = 10;
  std::size_t GroupCount = 1; ///< of each service
  std::size_t ReplicaCount = 3;
  std::size_t EntryCount = 6;
  std::size_t MaxInstances = 8; ///< EntryCount + 2, for replacements
  std::size_t DomainCount = 3;
  std::size_t Slots = 5;
  std::size_t Connections = 40;
  microseconds ConnectCost{6000};
  double ServiceMeanMs = 10;
  double ServiceSigma = 0.5;
  std::string Versions = "7:1";
  std::size_t ItemCount = 100; ///< of each service
  std::string PoisonHold = "10m";
  std::vector<contract_plan> Contracts;
};

/// Returns the default topology: 10 services of 3 targets and the contract
/// "search" over all of them.
auto storefront() -> topology;

/// The identity, position and address of a target.
struct target_placement {
  target_id Id;
  service_id Service;
  std::size_t Group = 0;
  std::size_t Replica = 0;
  failure_domain Domain;
  address Address;
};

/// The identity, failure domain and addresses of an instance.
struct entry_placement {
  instance_id Id;
  failure_domain Domain;
  address Caller;
  address Peer;
};

auto serviceName(std::size_t Number) -> service_id;
auto domainName(std::size_t Number) -> failure_domain;
auto platformAddress() -> address;
auto placeTargets(const topology &Topology) -> std::vector<target_placement>;
auto placeEntry(const topology &Topology, std::size_t Number)
    -> entry_placement;

/// Returns the deployment file for \p Topology.
auto deploymentText(const topology &Topology) -> std::string;

} // namespace tarragon::bench
