#include "gateway/explainview.h"

#include "account/fairshare.h"
#include "account/priority.h"
#include "account/quotaledger.h"
#include "gateway/gateway.h"
#include "gateway/jsonanswer.h"
#include "global/jsonfields.h"

#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace tarragon::gateway {

namespace {

constexpr double Decimals = 1000;
constexpr double MicrosecondsPerMillisecond = 1000;

using entries_by_service =
    std::map<std::string, std::vector<const route::target_entry *>>;

auto rounded(const double Value) -> Json::Value {
  return std::round(Value * Decimals) / Decimals;
}

/// The checks of one request, in the order of gateway::onRequest().
class explanation {
public:
  explanation(gateway &Gateway, const caller_request &Request,
              const std::string &AccountName, const time_point Now)
      : Gateway(Gateway), Request(Request), AccountName(AccountName), Now(Now) {
    Value["instance_version"] = Json::UInt64{Gateway.version()};
  }

  auto explain() -> Json::Value {
    const bool IsSent = checkRoute() && checkAccount() && checkInstance() &&
                        checkQuota() && checkShare() && checkParts();
    Value["verdict"] = IsSent ? "sent" : "refused";
    return std::move(Value);
  }

private:
  auto refuse(const unsigned Status, const std::string &Why,
              const milliseconds RetryAfter = {}) -> bool {
    Value["status"] = Status;
    Value["why"] = Why;
    if (RetryAfter > milliseconds{0})
      Value["retry_after_ms"] = Json::Int64{RetryAfter.count()};
    return false;
  }

  auto checkRoute() -> bool {
    if (Gateway.version() == 0)
      return refuse(503, "no routes are known yet");
    Route = Gateway.findRoute(Request);
    if (!Route)
      return refuse(404, "no route");
    Value["route"] = Route->Name;
    return true;
  }

  auto checkAccount() -> bool {
    const std::vector<route::account> *Accounts = Gateway.accounts();
    if (!Accounts)
      return true;
    const auto Found = std::find_if(
        Accounts->begin(), Accounts->end(),
        [&](const route::account &Each) { return Each.Name == AccountName; });
    if (!AccountName.empty() && Found == Accounts->end())
      return refuse(401, "the account is not in force");
    if (AccountName.empty())
      return Route->Public || refuse(401, "the route needs a key");
    Account = &*Found;
    Value["account"] = AccountName;
    return true;
  }

  auto checkInstance() -> bool {
    if (Gateway.stopsBeforeAnswer(*Route, Request, Now))
      return refuse(503, "this instance is stopping");
    if (Gateway.poison().verdict(fingerprintOf(Request), Now) ==
        admission::poison_verdict::Held)
      return refuse(503, "held: it crashed targets",
                    Gateway.poison().heldFor(fingerprintOf(Request), Now));
    return true;
  }

  auto checkQuota() -> bool {
    const account::quota_ledger *Ledger = Gateway.quotas();
    if (!Ledger || !Account || !(Account->RatePerSecond > 0))
      return true;
    account::quota_ledger Copy = *Ledger;
    const auto Decision = Copy.tryAcquire(Account->Name, Now);
    return Decision.IsAdmitted ||
           refuse(429, "over its quota", Decision.RetryAfter);
  }

  auto checkShare() -> bool {
    if (!Account || !Route->scattered())
      return true;
    account::fair_share Copy = Gateway.shares();
    const auto Decision =
        Copy.decide({Account->Name, Account->RatePerSecond,
                     account::priorityOf(*Route, Account)},
                    Gateway.admission().missedShare(Now), Now);
    return Decision.IsAdmitted ||
           refuse(503, "beyond its share", Decision.RetryAfter);
  }

  auto checkParts() -> bool {
    Plan = Gateway.planFor(*Route, Request);
    Plan.Priority = account::priorityOf(*Route, Account);
    Value["priority"] = Plan.Priority;
    Value["min_parts"] = Json::UInt64{Plan.MinParts};
    listParts();
    if (Up.size() < Plan.MinParts)
      return refuse(503, "too few parts have a usable target", longestDelay());
    return !Route->scattered() || checkAdmission();
  }

  auto checkAdmission() -> bool {
    placement::query_admission Copy = Gateway.admission();
    const auto Decision = Copy.decide(Plan, Up, Up.size() - Plan.MinParts, Now);
    Value["admission"]["active"] = Copy.isActive(Now);
    Value["admission"]["probability"] = rounded(Decision.Probability);
    Value["admission"]["needed"] = rounded(Decision.Needed);
    if (Decision.IsAdmitted)
      return true;
    Value["admission"]["least_likely"] = Decision.Service;
    return refuse(503, "not likely to be answered in time",
                  Decision.RetryAfter);
  }

  /// Lists the targets of each part; for a route to single services, those of
  /// each service with its weight.
  auto listParts() -> void {
    entries_by_service Entries;
    for (const route::target_entry *Entry : Gateway.targets().registry().all())
      Entries[Entry->Service].push_back(Entry);
    Value["parts"] = Json::Value(Json::arrayValue);
    for (const std::string &Service : Route->Shards)
      addPart(Service, Entries[Service], {});
    for (const route::weighted_service &Each : Route->Services)
      addPart(Each.Service, Entries[Each.Service], Each.Weight);
  }

  auto addPart(const std::string &Service,
               const std::vector<const route::target_entry *> &Entries,
               const std::optional<double> Weight) -> void {
    const microseconds Median = Gateway.latencies(*Route).median();
    Json::Value Part;
    Part["service"] = Service;
    if (Weight)
      Part["weight"] = *Weight;
    Part["targets"] = Json::Value(Json::arrayValue);
    double LowestCost = 0;
    for (const route::target_entry *Entry : Entries) {
      const auto Assessment = Gateway.targets().assess(*Entry, Median, Now);
      Part["targets"].append(viewTarget(*Entry, Assessment));
      if (!exclusion(*Entry, Assessment).empty() ||
          (Part.isMember("chosen") && Assessment.CostUs >= LowestCost))
        continue;
      LowestCost = Assessment.CostUs;
      Part["chosen"] = Entry->Id;
    }
    Services.push_back(Service);
    if (!isDown(Service, Median))
      Up.push_back(Service);
    Value["parts"].append(std::move(Part));
  }

  auto viewTarget(const route::target_entry &Entry,
                  const placement::target_assessment &Assessment) const
      -> Json::Value {
    Json::Value Row;
    Row["target"] = Entry.Id;
    Row["failure_domain"] = Entry.FailureDomain;
    Row["slowness"] = rounded(Assessment.Health.Slowness);
    Row["refusals"] = rounded(Assessment.Health.Refusals);
    Row["outstanding"] = Assessment.Health.Outstanding;
    const std::string Reason = exclusion(Entry, Assessment);
    if (!Reason.empty())
      Row["excluded"] = Reason;
    else
      Row["cost_ms"] = rounded(Assessment.CostUs / MicrosecondsPerMillisecond);
    if (Assessment.ReturnShare < 1)
      Row["return_share"] = rounded(Assessment.ReturnShare);
    return Row;
  }

  /// Returns why the target gets no request, or nothing.
  auto exclusion(const route::target_entry &Entry,
                 const placement::target_assessment &Assessment) const
      -> std::string {
    const route::target_registry &Registry = Gateway.targets().registry();
    if (Registry.isEvacuated(Entry))
      return "evacuated";
    const auto &Usable = Registry.usable(Entry.Service);
    if (std::find(Usable.begin(), Usable.end(), &Entry) == Usable.end())
      return "leaving";
    if (Assessment.IsHeldCold)
      return "cold";
    return Assessment.IsAvailable
               ? std::string()
               : std::string(name(Assessment.Health.Standing));
  }

  /// As request_plan::isServiceDown(): a target that wants requests again in
  /// time is worth waiting for.
  auto isDown(const std::string &Service, const microseconds Median) const
      -> bool {
    if (!Gateway.targets().isServiceDown(Service, Median, Now))
      return false;
    const auto ReopensAt = Gateway.targets().reopensAt(Service, Now);
    return !ReopensAt ||
           *ReopensAt + Median > std::min(Plan.EarlyAt, Plan.Deadline);
  }

  auto longestDelay() const -> milliseconds {
    milliseconds Longest{0};
    for (const std::string &Service : Services)
      Longest = std::max(Longest, Gateway.targets().retryDelay(Service, Now));
    return Longest;
  }

  gateway &Gateway;
  const caller_request &Request;
  const std::string &AccountName;
  const time_point Now;
  const route::route *Route = nullptr;
  const route::account *Account = nullptr;
  placement::plan_settings Plan;
  std::vector<std::string> Services; ///< those of the parts
  std::vector<std::string> Up;       ///< those with a usable target
  Json::Value Value;
};

} // namespace

auto viewExplanation(gateway &Gateway, const caller_request &Request,
                     const std::string &Account, const time_point Now)
    -> Json::Value {
  return explanation(Gateway, Request, Account, Now).explain();
}

auto answerExplain(gateway &Gateway, const caller_request &Question,
                   const time_point Now) -> caller_answer {
  const auto Fields =
      readJsonFields(Question.Body, {{"host", "target", "method", "account"}});
  const bool IsValid = Fields && Fields.value()["host"].isString() &&
                       Fields.value()["target"].isString() &&
                       Fields.value().get("method", "GET").isString() &&
                       Fields.value().get("account", "").isString();
  if (!IsValid) {
    caller_answer Answer;
    Answer.Status = 400;
    Answer.Body = "the body must be a JSON object with the texts \"host\" and "
                  "\"target\", and may have \"method\" and \"account\"\n";
    return Answer;
  }
  caller_request Request;
  Request.Host = Fields.value()["host"].asString();
  Request.RequestTarget = Fields.value()["target"].asString();
  Request.Method = Fields.value().get("method", "GET").asString();
  Request.ReceivedAt = Now;
  return jsonAnswer(viewExplanation(
      Gateway, Request, Fields.value().get("account", "").asString(), Now));
}

} // namespace tarragon::gateway
