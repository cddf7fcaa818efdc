#include "config/internal/servicereader.h"

#include "config/addresstext.h"
#include "config/internal/mappingreader.h"

#include <algorithm>
#include <sstream>

namespace tarragon::config {

namespace {

constexpr int_range SlotRange{1, 10000};
constexpr int_range ConnectionRange{1, 100000};
constexpr time_range ConnectCostRange{microseconds{0}, std::chrono::seconds{1}};

} // namespace

auto service_reader::read(const YAML::Node &Node) -> service {
  service Service;
  mapping_reader Reader(Node, "service " + nameForFaults(Node),
                        {"id", "team", "index", "limits", "groups"}, Faults);
  if (!Reader.valid())
    return Service;
  Service.Id = Reader.readName("id");
  Service.Team = Reader.readName("team");
  Service.Index = Reader.readName("index");
  if (const auto Limits = Reader.require("limits"))
    Service.Limits = readLimits(*Limits, Reader.name());
  if (const auto Groups = Reader.require("groups"))
    readGroups(*Groups, Service);
  return Service;
}

auto service_reader::readLimits(const YAML::Node &Node,
                                const std::string &Context) -> target_limits {
  target_limits Limits;
  mapping_reader Reader(Node, Context + ": limits",
                        {"slots", "connections", "connect_cost"}, Faults);
  if (!Reader.valid())
    return Limits;
  Reader.require("slots");
  Reader.require("connections");
  Reader.readInt("slots", SlotRange, Limits.Slots);
  Reader.readInt("connections", ConnectionRange, Limits.Connections);
  Reader.readTime("connect_cost", ConnectCostRange, Limits.ConnectCost);
  if (Limits.Slots > Limits.Connections)
    Reader.reject("slots", result_code::ConfigOutOfRange,
                  std::to_string(Limits.Slots) + " slots exceed the " +
                      std::to_string(Limits.Connections) + " connections");
  if (Limits.Connections < MaxInstances)
    Reader.reject("connections", result_code::ConfigOutOfRange,
                  std::to_string(Limits.Connections) +
                      " connections are fewer than the " +
                      std::to_string(MaxInstances) +
                      " instances (most_instances) that share them");
  return Limits;
}

auto service_reader::readGroups(const YAML::Node &Node, service &Service)
    -> void {
  const std::string Context = "service " + Service.Id;
  if (Node.size() == 0 || Node.IsScalar()) {
    Faults.add(Node, result_code::ConfigMalformed,
               Context + ": groups must be a non-empty list or mapping");
    return;
  }
  for (const auto &Element : Node) {
    if (Faults.full())
      return;
    if (Node.IsMap()) {
      const std::string Name =
          Element.first.IsScalar() ? Element.first.Scalar() : "";
      readGroup(Element.first, Name, Element.second, Service);
      continue;
    }
    mapping_reader Reader(Element,
                          Context + ": group " + nameForFaults(Element),
                          {"id", "targets"}, Faults);
    if (!Reader.valid())
      continue;
    const std::string Name = Reader.readName("id");
    const auto Targets = Reader.require("targets");
    if (!Name.empty() && Targets)
      readGroup(Element, Name, *Targets, Service);
  }
}

auto service_reader::readGroup(const YAML::Node &Position,
                               const std::string &Name,
                               const YAML::Node &Targets, service &Service)
    -> void {
  replica_group Group;
  Group.Id = Service.Id + "/" + Name;
  if (!isName(Name))
    Faults.add(Position, result_code::ConfigOutOfRange,
               "group " + Group.Id +
                   ": the name must be 1 to 64 letters, digits and `-_.`");
  const auto HasSameId = [&Group](const replica_group &Other) {
    return Other.Id == Group.Id;
  };
  if (std::any_of(Service.Groups.begin(), Service.Groups.end(), HasSameId))
    Faults.add(Position, result_code::ConfigDuplicate,
               "group " + Group.Id + " appears twice");
  if (!Targets.IsSequence() || Targets.size() == 0) {
    Faults.add(Targets, result_code::ConfigMalformed,
               "group " + Group.Id + ": targets must be a non-empty list");
    return;
  }
  for (const auto &Target : Targets) {
    if (Faults.full())
      return;
    Group.Targets.push_back(readTarget(Target, Group.Id));
  }
  Service.Groups.push_back(std::move(Group));
}

auto service_reader::readTarget(const YAML::Node &Node, const group_id &Group)
    -> target {
  if (Node.IsScalar())
    return readCompactTarget(Node, Group);
  target Target;
  mapping_reader Reader(Node,
                        "group " + Group + ": target " + nameForFaults(Node),
                        {"id", "address", "domain"}, Faults);
  if (!Reader.valid())
    return Target;
  Target.Id = Reader.readName("id");
  Target.Domain = Reader.readName("domain");
  if (const auto Address = Reader.require("address"))
    Target.Address = Address->IsScalar() ? Address->Scalar() : "";
  if (!Target.Id.empty())
    checkTarget(Node, Target);
  return Target;
}

auto service_reader::readCompactTarget(const YAML::Node &Node,
                                       const group_id &Group) -> target {
  target Target;
  std::istringstream Words(Node.Scalar());
  std::string Rest;
  Words >> Target.Id >> Target.Domain >> Target.Address;
  if (Target.Address.empty() || (Words >> Rest)) {
    Faults.add(Node, result_code::ConfigMalformed,
               "group " + Group +
                   ": a target must be `id domain IP:port` or a mapping of "
                   "id, domain and address");
    return Target;
  }
  if (!isName(Target.Id) || !isName(Target.Domain))
    Faults.add(Node, result_code::ConfigOutOfRange,
               "group " + Group +
                   ": id and domain of a target must be 1 to 64 letters, "
                   "digits and `-_.`");
  checkTarget(Node, Target);
  return Target;
}

auto service_reader::checkTarget(const YAML::Node &Node, const target &Target)
    -> void {
  const std::string Context = "target " + Target.Id;
  if (!isAddress(Target.Address))
    Faults.add(Node, result_code::ConfigOutOfRange,
               Context + ": address must be IP:port, not `" + Target.Address +
                   "`");
  else if (!Addresses.insert(Target.Address).second)
    Faults.add(Node, result_code::ConfigDuplicate,
               Context + ": address " + Target.Address +
                   " is already used by another target");
  if (!TargetIds.insert(Target.Id).second)
    Faults.add(Node, result_code::ConfigDuplicate, Context + " appears twice");
}

} // namespace tarragon::config
