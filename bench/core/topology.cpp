#include "bench/core/topology.h"

#include <cstdio>
#include <cstdlib>

namespace tarragon::bench {

namespace {

constexpr int PlatformPort = 21000;
constexpr int FirstCallerPort = 21100;
constexpr int FirstPeerPort = 21200;
constexpr int FirstTargetPort = 21300;

/// TARRAGON_BENCH_HOST selects another loopback address, so that two clusters
/// can run side by side.
auto onLoopback(const std::size_t Port) -> address {
  const char *const Host = std::getenv("TARRAGON_BENCH_HOST");
  return (Host ? Host : "127.0.0.1") + (":" + std::to_string(Port));
}

auto groupName(const std::size_t Number) -> std::string {
  return std::string(1, static_cast<char>('a' + Number));
}

auto joined(const std::vector<std::string> &Names) -> std::string {
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name;
  return Text;
}

auto allServices(const topology &Topology) -> std::vector<service_id> {
  std::vector<service_id> Names;
  for (std::size_t Number = 0; Number < Topology.ServiceCount; ++Number)
    Names.push_back(serviceName(Number));
  return Names;
}

auto groupLine(const std::vector<target_placement> &Targets,
               const service_id &Service, const std::size_t Group)
    -> std::string {
  std::vector<std::string> Texts;
  for (const target_placement &Target : Targets)
    if (Target.Service == Service && Target.Group == Group)
      Texts.push_back(Target.Id + " " + Target.Domain + " " + Target.Address);
  return "      " + groupName(Group) + ": [" + joined(Texts) + "]\n";
}

} // namespace

auto storefront() -> topology {
  topology Topology;
  Topology.Contracts = {{"search",
                         {},
                         "merge: top_k, limit: 10, deadline: 600ms, "
                         "hedge_budget: 0.05"}};
  return Topology;
}

auto serviceName(const std::size_t Number) -> service_id {
  char Name[32];
  std::snprintf(Name, sizeof Name, "storefront-%02zu", Number + 1);
  return Name;
}

auto domainName(const std::size_t Number) -> failure_domain {
  return "d" + std::to_string(Number + 1);
}

auto platformAddress() -> address { return onLoopback(PlatformPort); }

auto placeTargets(const topology &Topology) -> std::vector<target_placement> {
  std::vector<target_placement> Targets;
  for (std::size_t Service = 0; Service < Topology.ServiceCount; ++Service)
    for (std::size_t Group = 0; Group < Topology.GroupCount; ++Group)
      for (std::size_t Replica = 0; Replica < Topology.ReplicaCount;
           ++Replica) {
        const service_id Name = serviceName(Service);
        Targets.push_back(
            {Name + "-" + groupName(Group) + std::to_string(Replica + 1), Name,
             Group, Replica,
             domainName((Service + Replica) % Topology.DomainCount),
             onLoopback(FirstTargetPort + Targets.size())});
      }
  return Targets;
}

auto placeEntry(const topology &Topology, const std::size_t Number)
    -> entry_placement {
  return {"e" + std::to_string(Number + 1),
          domainName(Number % Topology.DomainCount),
          onLoopback(FirstCallerPort + Number),
          onLoopback(FirstPeerPort + Number)};
}

auto deploymentText(const topology &Topology) -> std::string {
  const std::vector<target_placement> Targets = placeTargets(Topology);
  std::string Text =
      "most_instances: " + std::to_string(Topology.MaxInstances) +
      "\naddress_lifetime: 2s\npoison_hold: " + Topology.PoisonHold +
      "\n\nservices:\n";
  for (const service_id &Service : allServices(Topology)) {
    Text += "  - id: " + Service + "\n    team: shop\n    index: catalogue\n";
    Text += "    limits: {slots: " + std::to_string(Topology.Slots) +
            ", connections: " + std::to_string(Topology.Connections) +
            ", connect_cost: " + std::to_string(Topology.ConnectCost.count()) +
            "us}\n    groups:\n";
    for (std::size_t Group = 0; Group < Topology.GroupCount; ++Group)
      Text += groupLine(Targets, Service, Group);
  }
  Text += "\ncontracts:\n";
  for (const contract_plan &Contract : Topology.Contracts) {
    const auto Services =
        Contract.Services.empty() ? allServices(Topology) : Contract.Services;
    Text += "  - {id: " + Contract.Id + ", team: shop, services: [" +
            joined(Services) + "], " + Contract.Options + "}\n";
  }
  return Text;
}

} // namespace tarragon::bench
