#include "entry/adminjson.h"

#include "config/hiddenkeys.h"
#include "entry/answerjson.h"

#include <json/json.h>

namespace tarragon::entry {

namespace {

auto instanceStateName(const instance_state State) -> const char * {
  switch (State) {
  case instance_state::Live:
    return "live";
  case instance_state::Suspect:
    return "suspect";
  case instance_state::Leaving:
    return "leaving";
  case instance_state::Dead:
    return "dead";
  }
  return "unknown";
}

auto applyStateName(const config::apply_state State) -> const char * {
  switch (State) {
  case config::apply_state::Accepted:
    return "accepted";
  case config::apply_state::NotAccepted:
    return "not_accepted";
  case config::apply_state::Unknown:
    return "unknown";
  }
  return "unknown";
}

auto windowJson(const report::burn_window &Window) -> Json::Value {
  Json::Value Value;
  Value["length_ms"] = Json::Int64{Window.Length.count()};
  Value["requests"] = Json::UInt64{Window.Requests};
  Value["latency_misses"] = Json::UInt64{Window.LatencyMisses};
  Value["coverage_misses"] = Json::UInt64{Window.CoverageMisses};
  Value["latency_burn"] = Window.LatencyBurn;
  Value["coverage_burn"] = Window.CoverageBurn;
  return Value;
}

auto stringArrayJson(const std::vector<std::string> &Strings) -> Json::Value {
  Json::Value List(Json::arrayValue);
  for (const std::string &Text : Strings)
    List.append(Text);
  return List;
}

} // namespace

auto statusJson(const entry_status &Status) -> Json::Value {
  Json::Value Value;
  Value["instance"] = Status.Instance;
  Value["config_version"] = Json::UInt64{Status.Config};
  Value["refused"] = Status.RefusalReason;
  Value["draining"] = Status.Draining;
  Value["reaches_platform"] = Status.ReachesPlatform;
  Value["reaches_peers"] = Status.ReachesPeers;
  Value["members"] = Json::Value(Json::arrayValue);
  for (const member_status &Member : Status.Members) {
    Json::Value Row;
    Row["id"] = Member.Instance.Id;
    Row["state"] = instanceStateName(Member.Instance.State);
    Row["failure_domain"] = Member.Instance.Domain;
    Row["caller_address"] = Member.Instance.CallerAddress;
    Row["incarnation"] = Json::UInt64{Member.Instance.Incarnation};
    Row["config_version"] = Json::UInt64{Member.Config};
    Row["how"] = Member.VersionSource;
    Value["members"].append(std::move(Row));
  }
  return Value;
}

auto burnJson(const report::burn_report &Report) -> Json::Value {
  Json::Value Value;
  Value["contracts"] = Json::Value(Json::arrayValue);
  for (const report::burn_row &Row : Report) {
    Json::Value Entry;
    Entry["contract"] = Row.Contract;
    Entry["objective_latency_ms"] = Json::Int64{Row.Objective.Latency.count()};
    Entry["objective_latency_share"] = Row.Objective.LatencyShare;
    Entry["objective_coverage_share"] = Row.Objective.CoverageShare;
    Entry["short"] = windowJson(Row.Short);
    Entry["long"] = windowJson(Row.Long);
    Entry["latency_budget_left"] = Row.LatencyBudgetLeft;
    Entry["coverage_budget_left"] = Row.CoverageBudgetLeft;
    Value["contracts"].append(std::move(Entry));
  }
  return Value;
}

auto configJson(const config::accepted_config &Config) -> Json::Value {
  Json::Value Value;
  Value["version"] = Json::UInt64{Config.Version};
  const bool HasAccounts = Config.Deployment && Config.Deployment->Accounts;
  Value["text"] = HasAccounts ? config::hideKeys(Config.Text) : Config.Text;
  Value["operator"] = Config.Operator;
  Value["change_id"] = Config.ChangeId;
  return Value;
}

auto faultsJson(const result_code Code,
                const std::vector<config::config_fault> &Faults)
    -> Json::Value {
  Json::Value Value = resultJson(Code, "");
  Value["faults"] = Json::Value(Json::arrayValue);
  for (const config::config_fault &Fault : Faults) {
    Json::Value Entry = resultJson(Fault.Code, Fault.Detail);
    Entry["line"] = Fault.Line;
    Entry["column"] = Fault.Column;
    Value["faults"].append(std::move(Entry));
  }
  return Value;
}

auto planJson(const config_version Base,
              const std::vector<std::string> &Differences) -> Json::Value {
  Json::Value Value = resultJson(result_code::Ok, "");
  Value["base"] = Json::UInt64{Base};
  Value["differences"] = stringArrayJson(Differences);
  return Value;
}

auto applyJson(const config::apply_outcome &Outcome) -> Json::Value {
  Json::Value Value = resultJson(Outcome.Code, Outcome.Detail);
  Value["state"] = applyStateName(Outcome.State);
  Value["version"] = Json::UInt64{Outcome.Version};
  Value["winner"] = Outcome.Winner;
  Value["differences"] = stringArrayJson(Outcome.Differences);
  return Value;
}

auto snapshotsJson(const config::accepted_config &Config,
                   const std::map<contract_id, query::pinned_snapshot> &Pinned)
    -> Json::Value {
  Json::Value Value;
  Value["config_version"] = Json::UInt64{Config.Version};
  Value["contracts"] = Json::Value(Json::arrayValue);
  for (const auto &[Contract, Snapshot] : Pinned) {
    Json::Value Entry;
    Entry["contract"] = Contract;
    Entry["version"] = Json::UInt64{Snapshot.Version};
    for (const auto &[Service, Count] : Snapshot.ShardCounts)
      Entry["shards"][Service] = Json::UInt64{Count};
    Value["contracts"].append(std::move(Entry));
  }
  return Value;
}

} // namespace tarragon::entry
