#include "ctl/views.h"

#include "ctl/internal/replytext.h"
#include "ctl/texttable.h"
#include "global/resultcode.h"

#include <json/json.h>

namespace tarragon::ctl {

namespace {

auto differencesText(const Json::Value &Body) -> std::string {
  std::string Text;
  for (const Json::Value &Each : listOf(Body, "differences"))
    Text += "  " + Each.asString() + "\n";
  return Text;
}

/// Formats the misses of one window, such as "12 of 300".
auto missesText(const Json::Value &Window, const char *const Misses)
    -> std::string {
  return std::to_string(numberOf(Window, Misses)) + " of " +
         std::to_string(numberOf(Window, "requests"));
}

auto shardsText(const Json::Value &Shards) -> std::string {
  std::string Text;
  if (Shards.isObject())
    for (const std::string &Service : Shards.getMemberNames())
      Text += (Text.empty() ? "" : " ") + Service + ":" +
              textOf(Shards, Service.c_str());
  return Text;
}

auto coverageText(const Json::Value &Coverage) -> std::string {
  if (numberOf(Coverage, "asked") == 0)
    return {};
  std::string Text = "coverage " + textOf(Coverage, "answered") + " of " +
                     textOf(Coverage, "asked") + " shards\n";
  for (const Json::Value &Missing : listOf(Coverage, "missing"))
    Text += "  missing " + textOf(Missing, "service") + " shard " +
            textOf(Missing, "shard") + ": " + textOf(Missing, "reason") + "\n";
  return Text;
}

/// Formats the "result: detail" line of any reply.
auto resultText(const Json::Value &Body) -> std::string {
  const std::string Detail = textOf(Body, "detail");
  return textOf(Body, "result") + (Detail.empty() ? "" : ": " + Detail) + "\n";
}

} // namespace

auto faultsText(const std::string &File,
                const std::vector<config::config_fault> &Faults)
    -> std::string {
  std::string Text;
  for (const config::config_fault &Fault : Faults)
    Text += File + ":" + std::to_string(Fault.Line) + ":" +
            std::to_string(Fault.Column) + ": " +
            std::string(resultRow(Fault.Code).Name) + ": " + Fault.Detail +
            "\n";
  return Text;
}

auto statusText(const Json::Value &Body) -> std::string {
  text_table Table(
      {"INSTANCE", "STATE", "DOMAIN", "VERSION", "ADDRESS", "KNOWN BY"});
  for (const Json::Value &Member : listOf(Body, "members"))
    Table.add({textOf(Member, "id"), textOf(Member, "state"),
               textOf(Member, "failure_domain"),
               textOf(Member, "config_version"),
               textOf(Member, "caller_address"), textOf(Member, "how")});
  std::string Text = "instance " + textOf(Body, "instance") + ", version " +
                     textOf(Body, "config_version") + " in force\n";
  if (const std::string Refused = textOf(Body, "refused"); !Refused.empty())
    Text += "can't put in force: " + Refused + "\n";
  if (textOf(Body, "draining") == "true")
    Text += "draining\n";
  if (textOf(Body, "reaches_platform") == "false")
    Text += "does not reach the platform\n";
  if (textOf(Body, "reaches_peers") == "false")
    Text += "does not reach its peers\n";
  return Text + Table.text();
}

auto entriesText(const Json::Value &Body) -> std::string {
  text_table Table({"ADDRESS", "DOMAIN", "INSTANCE"});
  for (const Json::Value &Entry : listOf(Body, "addresses"))
    Table.add({textOf(Entry, "address"), textOf(Entry, "failure_domain"),
               textOf(Entry, "instance")});
  return Table.text() + "valid for " + textOf(Body, "lifetime_ms") + "ms\n";
}

auto snapshotsText(const Json::Value &Body) -> std::string {
  text_table Table({"CONTRACT", "INDEX VERSION", "SHARDS"});
  for (const Json::Value &Contract : listOf(Body, "contracts"))
    Table.add({textOf(Contract, "contract"), textOf(Contract, "version"),
               shardsText(Contract["shards"])});
  return Table.text();
}

auto burnText(const Json::Value &Body) -> std::string {
  text_table Table({"CONTRACT", "OBJECTIVE", "LATE (SHORT)", "LATE (LONG)",
                    "PARTIAL (LONG)", "LATENCY BURN", "COVERAGE BURN",
                    "BUDGET LEFT"});
  for (const Json::Value &Row : listOf(Body, "contracts")) {
    const Json::Value &Short = Row["short"];
    const Json::Value &Long = Row["long"];
    Table.add({textOf(Row, "contract"),
               textOf(Row, "objective_latency_share") + " in " +
                   textOf(Row, "objective_latency_ms") + "ms",
               missesText(Short, "latency_misses"),
               missesText(Long, "latency_misses"),
               missesText(Long, "coverage_misses"),
               textOf(Short, "latency_burn"), textOf(Short, "coverage_burn"),
               textOf(Row, "latency_budget_left")});
  }
  return Table.text();
}

auto targetsText(const Json::Value &Body) -> std::string {
  text_table Table({"TARGET", "SERVICE", "DOMAIN", "STANDING", "BLOCKED MS",
                    "SLOWNESS", "REFUSALS", "AT WORK"});
  for (const Json::Value &Row : listOf(Body, "targets"))
    Table.add({textOf(Row, "target"), textOf(Row, "service"),
               textOf(Row, "failure_domain"), textOf(Row, "standing"),
               textOf(Row, "blocked_ms"), textOf(Row, "slowness"),
               textOf(Row, "refusals"), textOf(Row, "outstanding")});
  std::string Text = "instance " + textOf(Body, "instance") + ", version " +
                     textOf(Body, "version") + " in force, " +
                     textOf(Body, "at_hand") + " requests at hand, " +
                     textOf(Body, "live") + " instances live\n";
  if (textOf(Body, "stopping") == "true")
    Text += "stopping\n";
  for (const Json::Value &Crash : listOf(Body, "crashes"))
    Text += "request " + textOf(Crash, "fingerprint") + " crashed " +
            textOf(Crash, "target") +
            (textOf(Crash, "held") == "true" ? ", held\n" : "\n");
  return Text + Table.text();
}

auto accountsText(const Json::Value &Body) -> std::string {
  const std::string Version = "instance " + textOf(Body, "instance") +
                              ", version " + textOf(Body, "version") +
                              " in force\n";
  if (!Body.isMember("accounts"))
    return Version + "requests need no key\n";
  text_table Table({"ACCOUNT", "PRIORITY", "RATE PER S", "BURST", "KEYS",
                    "SHARE HELD", "REQUESTED", "SERVED", "OVER QUOTA",
                    "NO CAPACITY"});
  for (const Json::Value &Row : listOf(Body, "accounts"))
    Table.add({textOf(Row, "account"), textOf(Row, "priority"),
               textOf(Row, "rate_per_s"), textOf(Row, "burst"),
               textOf(Row, "key_count"), textOf(Row, "share_held"),
               textOf(Row, "requested"), textOf(Row, "served"),
               textOf(Row, "over_quota"), textOf(Row, "no_capacity")});
  std::string Text = Version + Table.text();
  if (numberOf(Body, "accounts_not_listed") > 0)
    Text += "and " + textOf(Body, "accounts_not_listed") + " more\n";
  return Text;
}

auto explanationText(const Json::Value &Body) -> std::string {
  std::string Text = textOf(Body, "verdict");
  if (Body.isMember("why"))
    Text += " with " + textOf(Body, "status") + ": " + textOf(Body, "why");
  if (Body.isMember("retry_after_ms"))
    Text += ", retry after " + textOf(Body, "retry_after_ms") + "ms";
  Text += "\n";
  for (const char *const Name : {"route", "account", "priority", "min_parts"})
    if (Body.isMember(Name))
      Text += std::string(Name) + " " + textOf(Body, Name) + "\n";
  const Json::Value &Admission = Body["admission"];
  if (Admission.isMember("probability"))
    Text += "probability " + textOf(Admission, "probability") + ", needed " +
            textOf(Admission, "needed") + "\n";
  text_table Table({"SERVICE", "TARGET", "DOMAIN", "COST MS", "SLOWNESS",
                    "REFUSALS", "AT WORK", "STATE"});
  for (const Json::Value &Part : listOf(Body, "parts"))
    for (const Json::Value &Row : listOf(Part, "targets")) {
      const bool IsChosen = textOf(Row, "target") == textOf(Part, "chosen");
      Table.add({textOf(Part, "service"), textOf(Row, "target"),
                 textOf(Row, "failure_domain"), textOf(Row, "cost_ms"),
                 textOf(Row, "slowness"), textOf(Row, "refusals"),
                 textOf(Row, "outstanding"),
                 IsChosen ? "chosen" : textOf(Row, "excluded")});
    }
  return Text + (Body.isMember("parts") ? Table.text() : "");
}

auto planText(const Json::Value &Body) -> std::string {
  const std::string Differences = differencesText(Body);
  const std::string Base = textOf(Body, "base");
  if (Differences.empty())
    return "no change to version " + Base + "\n";
  return "changes to version " + Base + ":\n" + Differences +
         "apply with --base " + Base + "\n";
}

auto applyText(const Json::Value &Body) -> std::string {
  const std::string State = textOf(Body, "state");
  if (State == "accepted")
    return "accepted as version " + textOf(Body, "version") + "\n";
  if (numberOf(Body, "code") ==
      static_cast<std::uint64_t>(result_code::ConfigUnchanged))
    return "unchanged: " + textOf(Body, "detail") + "\n";
  std::string Text =
      (State == "unknown" ? "outcome unknown: " : "not accepted: ") +
      resultText(Body);
  if (const std::string Winner = textOf(Body, "winner"); !Winner.empty())
    Text += "accepted instead: the change of " + Winner + "\n";
  if (const std::string Differences = differencesText(Body);
      !Differences.empty())
    Text += "from the file in force to yours:\n" + Differences;
  return Text;
}

auto queryText(const Json::Value &Body) -> std::string {
  text_table Table({"KEY", "SCORE", "BODY"});
  for (const Json::Value &Item : listOf(Body, "items"))
    Table.add(
        {textOf(Item, "key"), textOf(Item, "score"), textOf(Item, "body")});
  std::string Text = resultText(Body);
  if (!listOf(Body, "items").empty())
    Text += Table.text();
  if (Body.isObject())
    Text += coverageText(Body["coverage"]);
  if (numberOf(Body, "version") > 0)
    Text += "index version " + textOf(Body, "version") + "\n";
  if (const std::string Next = textOf(Body, "continuation"); !Next.empty())
    Text += "next page: --continuation " + Next + "\n";
  return Text;
}

} // namespace tarragon::ctl
