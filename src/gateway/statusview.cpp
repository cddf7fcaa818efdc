#include "gateway/statusview.h"

#include "account/quotaledger.h"
#include "gateway/accountsview.h"
#include "gateway/gateway.h"

#include <json/json.h>

#include <algorithm>
#include <cmath>

namespace tarragon::gateway {

namespace {

constexpr std::size_t MaxCrashes = 32;
constexpr std::size_t MaxDomains = 64;
constexpr std::size_t MaxQuotas = 100;
constexpr std::size_t MaxColdTargets = 256;
constexpr double Tail = 0.99;
constexpr double Decimals = 100;

auto rounded(const double Value) -> Json::Value {
  return std::round(Value * Decimals) / Decimals;
}

auto inMilliseconds(const microseconds Time) -> Json::Value {
  return rounded(std::chrono::duration<double, std::milli>(Time).count());
}

auto viewRoutes(gateway &Gateway) -> Json::Value {
  Json::Value Rows(Json::arrayValue);
  for (const route::route &Route : Gateway.routes()) {
    const placement::latency_model &Latencies = Gateway.latencies(Route);
    Json::Value Row;
    Row["route"] = Route.Name;
    Row["typical_ms"] = inMilliseconds(Latencies.median());
    Row["tail_ms"] = inMilliseconds(Latencies.quantile(Tail));
    Rows.append(std::move(Row));
  }
  return Rows;
}

auto viewLoad(const placement::load_estimate &Load, const time_point Now)
    -> Json::Value {
  Json::Value Row;
  Row["running"] = Load.told()->Running;
  Row["waiting"] = Load.told()->Waiting;
  Row["slots"] = Load.told()->Slots;
  if (Load.told()->Pace > 0)
    Row["pace"] = rounded(Load.told()->Pace);
  Row["age_ms"] = inMilliseconds(
      std::chrono::duration_cast<microseconds>(Now - Load.toldAt()));
  return Row;
}

auto viewTarget(gateway &Gateway, const route::target_entry &Entry,
                const microseconds MedianLatency, const time_point Now)
    -> Json::Value {
  const placement::target_health_report Health =
      Gateway.targets().health(Entry.Id).report(MedianLatency, Now);
  Json::Value Row;
  Row["target"] = Entry.Id;
  Row["service"] = Entry.Service;
  Row["failure_domain"] = Entry.FailureDomain;
  Row["standing"] =
      std::string(Entry.Draining ? "leaving"
                  : Gateway.targets().registry().isEvacuated(Entry)
                      ? "evacuated"
                      : name(Health.Standing));
  Row["blocked_ms"] = Json::Int64{Health.BlockedFor.count()};
  Row["slowness"] = rounded(Health.Slowness);
  Row["refusals"] = rounded(Health.Refusals);
  Row["outstanding"] = Health.Outstanding;
  const placement::load_estimate &Load =
      Gateway.targets().health(Entry.Id).load();
  if (Load.told())
    Row["load"] = viewLoad(Load, Now);
  return Row;
}

auto viewBudget(gateway &Gateway, const std::string &Service,
                const time_point Now) -> Json::Value {
  placement::retry_budget &Budget = Gateway.budgets().budget(Service);
  Json::Value Row;
  Row["service"] = Service;
  Row["hedges_left"] =
      rounded(Budget.remainingShare(placement::extra_purpose::Hedge, Now));
  Row["retries_left"] =
      rounded(Budget.remainingShare(placement::extra_purpose::Retry, Now));
  return Row;
}

auto viewCrashes(gateway &Gateway, const time_point Now) -> Json::Value {
  Json::Value Rows(Json::arrayValue);
  for (const admission::crash_report &Report :
       Gateway.poison().reports(MaxCrashes, Now)) {
    Json::Value Row;
    Row["fingerprint"] = std::to_string(Report.Fingerprint);
    Row["target"] = Report.Target;
    Row["held"] = Gateway.poison().verdict(Report.Fingerprint, Now) ==
                  admission::poison_verdict::Held;
    Rows.append(std::move(Row));
  }
  return Rows;
}

/// Returns the accounts with the most refusals.
auto viewQuotas(account::quota_ledger &Ledger, const time_point Now)
    -> Json::Value {
  account::quota_status Status = Ledger.status(Now);
  Json::Value Value;
  Value["heard"] = Json::UInt64{Status.Heard};
  Value["silent"] = Json::UInt64{Status.Silent};
  Value["fraction"] = rounded(Status.Fraction);
  Value["knows_levels"] = Status.KnowsLevels;
  Value["accounts"] = Json::Value(Json::arrayValue);
  std::stable_sort(Status.Rows.begin(), Status.Rows.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.Refused > Right.Refused;
                   });
  Status.Rows.resize(std::min(MaxQuotas, Status.Rows.size()));
  for (const account::quota_status::row &Each : Status.Rows) {
    Json::Value Row;
    Row["account"] = Each.Account;
    Row["rate"] = rounded(Each.Rate);
    Row["level"] = rounded(Each.Level);
    Row["admitted"] = Json::UInt64{Each.Admitted};
    Row["refused"] = Json::UInt64{Each.Refused};
    Value["accounts"].append(std::move(Row));
  }
  return Value;
}

auto viewCold(gateway &Gateway, const time_point Now) -> Json::Value {
  Json::Value Rows(Json::arrayValue);
  for (const placement::cold_share &Share :
       Gateway.targets().cold().shares(Now)) {
    if (Rows.size() == MaxColdTargets)
      break;
    Json::Value Row;
    Row["target"] = Share.Target;
    Row["per_s"] = rounded(Share.RequestsPerSecond);
    Row["cold_ms"] = Json::Int64{Share.Remaining.count()};
    Rows.append(std::move(Row));
  }
  return Rows;
}

auto routesTo(const route::route &Route, const std::string &Service) -> bool {
  const bool IsShard = std::find(Route.Shards.begin(), Route.Shards.end(),
                                 Service) != Route.Shards.end();
  return IsShard || std::any_of(Route.Services.begin(), Route.Services.end(),
                                [&Service](const auto &Part) {
                                  return Part.Service == Service;
                                });
}

auto viewAdmission(gateway &Gateway, const time_point Now) -> Json::Value {
  const placement::query_admission &Admission = Gateway.admission();
  Json::Value Row;
  Row["active"] = Admission.isActive(Now);
  Row["missed_share"] = rounded(Admission.missedShare(Now));
  Row["open_queries"] = Admission.openQueries();
  Row["refused"] = Json::UInt64{Gateway.queryRefusals().count()};
  return Row;
}

/// Returns the median latency of the first route to \p Service. The health
/// states of the service's targets are relative to it.
auto medianLatency(gateway &Gateway, const std::string &Service)
    -> microseconds {
  for (const route::route &Route : Gateway.routes())
    if (routesTo(Route, Service))
      return Gateway.latencies(Route).median();
  return milliseconds(1);
}

} // namespace

auto viewStatus(gateway &Gateway, const time_point Now) -> Json::Value {
  Json::Value Value;
  Value["version"] = Json::UInt64{Gateway.version()};
  Value["at_hand"] = Json::UInt64{Gateway.requestsInFlight()};
  Value["routes"] = viewRoutes(Gateway);
  Value["load_trust"] = rounded(Gateway.targets().newsTrust());
  Value["targets"] = Json::Value(Json::arrayValue);
  Value["budgets"] = Json::Value(Json::arrayValue);
  std::string Service;
  for (const route::target_entry *Entry : Gateway.targets().registry().all()) {
    const microseconds MedianLatency = medianLatency(Gateway, Entry->Service);
    Value["targets"].append(viewTarget(Gateway, *Entry, MedianLatency, Now));
    if (Entry->Service != Service)
      Value["budgets"].append(viewBudget(Gateway, Entry->Service, Now));
    Service = Entry->Service;
  }
  if (account::quota_ledger *Ledger = Gateway.quotas())
    Value["quotas"] = viewQuotas(*Ledger, Now);
  Value["admission"] = viewAdmission(Gateway, Now);
  Value["crashes"] = viewCrashes(Gateway, Now);
  Value["cold_targets"] = viewCold(Gateway, Now);
  Value["evacuated_domains"] = Json::Value(Json::arrayValue);
  for (const std::string &Domain : Gateway.targets().registry().evacuated())
    if (Value["evacuated_domains"].size() < MaxDomains)
      Value["evacuated_domains"].append(Domain);
  addAccounts(Gateway, Now, Value);
  return Value;
}

} // namespace tarragon::gateway
