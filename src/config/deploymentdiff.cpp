#include "config/deploymentfile.h"
#include "config/internal/accountdiff.h"
#include "config/timetext.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace tarragon::config {

namespace {

auto formatValue(const milliseconds Value) -> std::string {
  return formatTime(Value);
}
auto formatValue(const microseconds Value) -> std::string {
  return formatTime(Value);
}
auto formatValue(const std::string &Value) -> std::string { return Value; }
auto formatValue(const bool Value) -> std::string {
  return Value ? "true" : "false";
}
auto formatValue(const int Value) -> std::string {
  return std::to_string(Value);
}
auto formatValue(const std::size_t Value) -> std::string {
  return std::to_string(Value);
}

auto formatValue(const double Value) -> std::string {
  std::ostringstream Text;
  Text << Value;
  return Text.str();
}

auto formatValue(const std::vector<std::string> &Values) -> std::string {
  std::string Text;
  for (const std::string &Value : Values)
    Text += (Text.empty() ? "" : ", ") + Value;
  return "[" + Text + "]";
}

auto formatValue(const merge_kind Value) -> std::string {
  switch (Value) {
  case merge_kind::TopK:
    return "top_k";
  case merge_kind::Concat:
    return "concat";
  case merge_kind::ByKey:
    return "by_key";
  }
  return {};
}

auto formatValue(const shortfall_policy Value) -> std::string {
  switch (Value) {
  case shortfall_policy::AnswerPartial:
    return "answer_partial";
  case shortfall_policy::Refuse:
    return "refuse";
  }
  return {};
}

auto formatValue(const wait_policy Value) -> std::string {
  switch (Value) {
  case wait_policy::AnswerEarly:
    return "answer_early";
  case wait_policy::WaitDeadline:
    return "wait_deadline";
  }
  return {};
}

/// Collects the differences, each prefixed with the name of its object.
class difference_list {
public:
  auto begin(std::string Name) -> void { Object = std::move(Name); }

  template <class Value>
  auto compare(const std::string &Key, const Value &Old, const Value &New)
      -> void {
    if (Old != New)
      add(Key + " " + formatValue(Old) + " -> " + formatValue(New));
  }

  auto add(const std::string &Difference) -> void {
    Differences.push_back(Object + ": " + Difference);
  }

  auto take() -> std::vector<std::string> { return std::move(Differences); }

private:
  std::string Object;
  std::vector<std::string> Differences;
};

template <class Object>
auto findById(const std::vector<Object> &Objects, const std::string &Id)
    -> const Object * {
  const auto Found =
      std::find_if(Objects.begin(), Objects.end(),
                   [&Id](const Object &Other) { return Other.Id == Id; });
  return Found == Objects.end() ? nullptr : &*Found;
}

/// Calls \p Compare for objects of the same id that differ, and lists the
/// objects that were removed or added.
template <class Object, class Comparison>
auto compareAll(const std::string &Kind, const std::vector<Object> &Old,
                const std::vector<Object> &New, difference_list &List,
                const Comparison &Compare) -> void {
  for (const Object &Before : Old) {
    List.begin(Kind + " " + Before.Id);
    const Object *const After = findById(New, Before.Id);
    if (After == nullptr)
      List.add("removed");
    else if (!(*After == Before))
      Compare(Before, *After);
  }
  for (const Object &After : New) {
    List.begin(Kind + " " + After.Id);
    if (findById(Old, After.Id) == nullptr)
      List.add("added");
  }
}

/// Returns whether two lists have the same elements in a different order.
auto isReordered(const std::vector<std::string> &Left,
                 const std::vector<std::string> &Right) -> bool {
  return Left != Right && std::set(Left.begin(), Left.end()) ==
                              std::set(Right.begin(), Right.end());
}

template <class Object>
auto collectIds(const std::vector<Object> &Objects)
    -> std::vector<std::string> {
  std::vector<std::string> Names;
  for (const Object &Each : Objects)
    Names.push_back(Each.Id);
  return Names;
}

auto compareGroups(const service &Old, const service &New,
                   difference_list &List) -> void {
  const auto CompareTargets = [&List](const target &Before,
                                      const target &After) {
    List.compare("address", Before.Address, After.Address);
    List.compare("domain", Before.Domain, After.Domain);
  };
  if (isReordered(collectIds(Old.Groups), collectIds(New.Groups)))
    List.compare("groups", collectIds(Old.Groups), collectIds(New.Groups));
  compareAll(
      "group", Old.Groups, New.Groups, List,
      [&](const replica_group &Before, const replica_group &After) {
        if (isReordered(collectIds(Before.Targets), collectIds(After.Targets)))
          List.compare("targets", collectIds(Before.Targets),
                       collectIds(After.Targets));
        compareAll("group " + Before.Id + " target", Before.Targets,
                   After.Targets, List, CompareTargets);
      });
}

auto compareServices(const service &Old, const service &New,
                     difference_list &List) -> void {
  List.compare("team", Old.Team, New.Team);
  List.compare("index", Old.Index, New.Index);
  List.compare("slots", Old.Limits.Slots, New.Limits.Slots);
  List.compare("connections", Old.Limits.Connections, New.Limits.Connections);
  List.compare("connect_cost", Old.Limits.ConnectCost, New.Limits.ConnectCost);
  compareGroups(Old, New, List);
}

auto compareContracts(const contract &Old, const contract &New,
                      difference_list &List) -> void {
  List.compare("team", Old.Team, New.Team);
  List.compare("services", Old.Services, New.Services);
  List.compare("merge", Old.Merge, New.Merge);
  List.compare("limit", Old.Limit, New.Limit);
  List.compare("deadline", Old.Deadline, New.Deadline);
  List.compare("early_after", Old.EarlyAfter, New.EarlyAfter);
  List.compare("wanted_coverage", Old.WantedCoverage, New.WantedCoverage);
  List.compare("least_coverage", Old.MinCoverage, New.MinCoverage);
  List.compare("shortfall", Old.Shortfall, New.Shortfall);
  List.compare("wait", Old.Wait, New.Wait);
  List.compare("hedge_budget", Old.HedgeBudget, New.HedgeBudget);
  List.compare("repeatable", Old.Repeatable, New.Repeatable);
  List.compare("objective latency", Old.Objective.Latency,
               New.Objective.Latency);
  List.compare("objective latency_share", Old.Objective.LatencyShare,
               New.Objective.LatencyShare);
  List.compare("objective coverage_share", Old.Objective.CoverageShare,
               New.Objective.CoverageShare);
  List.compare("public", Old.Public, New.Public);
}

/// Adds the teams, other than \p Team, that own objects that differ.
template <class Object>
auto addForeignTeams(const std::vector<Object> &Old,
                     const std::vector<Object> &New, const team_id &Team,
                     std::set<team_id> &Foreign) -> void {
  const auto AddChanged = [&](const std::vector<Object> &From,
                              const std::vector<Object> &To) {
    for (const Object &Each : From) {
      const Object *const Other = findById(To, Each.Id);
      if (Each.Team != Team && (Other == nullptr || !(*Other == Each)))
        Foreign.insert(Each.Team);
    }
  };
  AddChanged(Old, New);
  AddChanged(New, Old);
}

auto sharedSettingsDiffer(const deployment &Old, const deployment &New)
    -> bool {
  return Old.MaxInstances != New.MaxInstances ||
         Old.AddressLifetime != New.AddressLifetime ||
         Old.PoisonHold != New.PoisonHold || Old.Accounts != New.Accounts;
}

/// Adds all teams of \p Deployment other than \p Team.
auto addOtherTeams(const deployment &Deployment, const team_id &Team,
                   std::set<team_id> &Foreign) -> void {
  for (const service &Service : Deployment.Services)
    if (Service.Team != Team)
      Foreign.insert(Service.Team);
  for (const contract &Contract : Deployment.Contracts)
    if (Contract.Team != Team)
      Foreign.insert(Contract.Team);
}

} // namespace

auto diffDeployments(const deployment &Old, const deployment &New)
    -> std::vector<std::string> {
  difference_list List;
  List.begin("deployment");
  List.compare("most_instances", Old.MaxInstances, New.MaxInstances);
  List.compare("address_lifetime", Old.AddressLifetime, New.AddressLifetime);
  List.compare("poison_hold", Old.PoisonHold, New.PoisonHold);
  compareAll("service", Old.Services, New.Services, List,
             [&List](const service &Before, const service &After) {
               compareServices(Before, After, List);
             });
  compareAll("contract", Old.Contracts, New.Contracts, List,
             [&List](const contract &Before, const contract &After) {
               compareContracts(Before, After, List);
             });
  std::vector<std::string> Differences = List.take();
  for (std::string &Difference : diffAccounts(Old, New))
    Differences.push_back(std::move(Difference));
  return Differences;
}

auto foreignChanges(const deployment &Old, const deployment &New,
                    const team_id &Team) -> std::vector<std::string> {
  if (Team.empty())
    return {};
  std::set<team_id> Foreign;
  addForeignTeams(Old.Services, New.Services, Team, Foreign);
  addForeignTeams(Old.Contracts, New.Contracts, Team, Foreign);
  if (sharedSettingsDiffer(Old, New))
    addOtherTeams(Old, Team, Foreign);
  return {Foreign.begin(), Foreign.end()};
}

} // namespace tarragon::config
