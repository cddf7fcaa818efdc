#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace tarragon::bench {

/// One contract of the deployment, as lines of its file.
struct contract_plan {
  contract_id Id;
  std::vector<service_id> Services; ///< empty for all
  std::string Options; ///< "merge: top_k, limit: 10, deadline: 400ms"
};

/// What is started for an experiment.
struct topology {
  std::size_t ServiceCount = 10;
  std::size_t GroupCount = 1; ///< of each service
  std::size_t ReplicaCount = 3;
  std::size_t EntryCount = 6;
  std::size_t MostInstances = 8; ///< two more than EntryCount, for overlap
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

/// The storefront of the size in use: 10 services of 3 targets, contract
/// "search" over all of them.
auto storefront() -> topology;

/// Where a target stands.
struct target_place {
  target_id Id;
  service_id Service;
  std::size_t Group = 0;
  std::size_t Replica = 0;
  failure_domain Domain;
  address Address;
};

/// Where an instance stands.
struct entry_place {
  instance_id Id;
  failure_domain Domain;
  address Caller;
  address Peer;
};

auto serviceName(std::size_t Number) -> service_id;
auto domainName(std::size_t Number) -> failure_domain;
auto platformAddress() -> address;
auto placeTargets(const topology &Topology) -> std::vector<target_place>;
auto placeEntry(const topology &Topology, std::size_t Number) -> entry_place;

/// The declarative file for \p Topology.
auto deploymentText(const topology &Topology) -> std::string;

} // namespace tarragon::bench
