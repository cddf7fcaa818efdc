#include "ctl/internal/reporting.h"

#include "config/deploymentfile.h"
#include "ctl/commandline.h"
#include "ctl/internal/replytext.h"
#include "ctl/views.h"

#include <json/json.h>

#include <ostream>

namespace tarragon::ctl {

namespace {

auto indented(const Json::Value &Body) -> std::string {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "  ";
  return Json::writeString(Builder, Body) + "\n";
}

auto faultList(const std::vector<config::config_fault> &Faults) -> Json::Value {
  Json::Value List(Json::arrayValue);
  for (const config::config_fault &Fault : Faults) {
    Json::Value Row;
    Row["code"] = static_cast<int>(Fault.Code);
    Row["result"] = std::string(resultRow(Fault.Code).Name);
    Row["line"] = Fault.Line;
    Row["column"] = Fault.Column;
    Row["detail"] = Fault.Detail;
    List.append(Row);
  }
  return List;
}

auto nameList(const std::vector<std::string> &Names) -> Json::Value {
  Json::Value List(Json::arrayValue);
  for (const std::string &Name : Names)
    List.append(Name);
  return List;
}

auto sizesText(const deployment &Deployment) -> std::string {
  std::size_t Targets = 0;
  for (const service &Service : Deployment.Services)
    for (const replica_group &Group : Service.Groups)
      Targets += Group.Targets.size();
  return std::to_string(Deployment.Services.size()) + " services, " +
         std::to_string(Deployment.Contracts.size()) + " contracts, " +
         std::to_string(Targets) + " targets";
}

auto viewText(const command Command, const Json::Value &Body) -> std::string {
  switch (Command) {
  case command::Plan:
    return planText(Body);
  case command::Status:
  case command::Drain:
    return statusText(Body);
  case command::Entries:
    return entriesText(Body);
  case command::Snapshot:
    return snapshotsText(Body);
  case command::Burn:
    return burnText(Body);
  case command::Targets:
    return targetsText(Body);
  case command::Accounts:
    return accountsText(Body);
  case command::Explain:
    return explanationText(Body);
  case command::Query:
    return queryText(Body);
  case command::Apply:
    return applyText(Body);
  case command::Validate:
  case command::Help:
    return {};
  }
  return {};
}

} // namespace

auto command_reporter::writeDiagnostic(const std::string &Sentence) -> void {
  Streams.Diagnostics << "tarragonctl: " << Sentence << "\n";
}

auto command_reporter::writeBody(const Json::Value &Body) -> void {
  Streams.Out << (Options.Output == output_format::Json
                      ? indented(Body)
                      : viewText(Options.Command, Body));
}

auto command_reporter::reportNoReply(const entry_reply &Reply) -> void {
  writeDiagnostic("no reply from " + Reply.Entry + ": " + Reply.Error);
}

auto command_reporter::reportValidation(const std::string &Text) -> exit_code {
  const auto File = config::parseDeployment(Text);
  if (Options.Output == output_format::Json) {
    Json::Value Body;
    Body["faults"] = faultList(File.Faults);
    Streams.Out << indented(Body);
  } else {
    Streams.Out << faultsText(Options.File, File.Faults);
    if (File.Faults.empty())
      Streams.Out << Options.File << ": valid, " << sizesText(File.Deployment)
                  << "\n";
  }
  return File.Faults.empty() ? exit_code::Ok : exit_code::Refused;
}

auto command_reporter::reportFaults(const std::string &Text) -> exit_code {
  if (config::parseDeployment(Text).Faults.empty())
    return exit_code::Ok;
  return reportValidation(Text);
}

auto command_reporter::reportView(const entry_reply &Reply) -> exit_code {
  const exit_code Exit = exitAfterRead(Reply);
  if (Reply.State != reply_state::Replied)
    reportNoReply(Reply);
  else if (Exit != exit_code::Ok)
    writeDiagnostic(textOf(Reply.Body, "result") + ": " +
                    textOf(Reply.Body, "detail"));
  else
    writeBody(Reply.Body);
  return Exit;
}

auto command_reporter::reportDrain(const entry_reply &Reply) -> exit_code {
  const exit_code Exit = reportView(Reply);
  return Reply.State == reply_state::NoReply ? exit_code::Unknown : Exit;
}

auto command_reporter::reportQuery(const entry_reply &Reply) -> exit_code {
  if (Reply.State == reply_state::Replied)
    writeBody(Reply.Body);
  else
    reportNoReply(Reply);
  return exitAfterQuery(Reply);
}

auto command_reporter::makeApplyBody(const apply_verdict &Verdict,
                                     const rollout_view &Rollout)
    -> Json::Value {
  Json::Value Body = Verdict.Reply.Body;
  Body["change_id"] = Options.ChangeId;
  Body["in_force"] = nameList(Rollout.UpToDate);
  Body["not_in_force"] = nameList(Rollout.Outdated);
  return Body;
}

auto command_reporter::reportApply(const apply_verdict &Verdict,
                                   const rollout_view &Rollout) -> exit_code {
  const entry_reply &Reply = Verdict.Reply;
  if (Options.Output == output_format::Json)
    Streams.Out << indented(makeApplyBody(Verdict, Rollout));
  else if (Reply.State == reply_state::Replied)
    writeBody(Reply.Body);
  if (Reply.State != reply_state::Replied)
    reportNoReply(Reply);
  const bool Accepted = textOf(Reply.Body, "state") == "accepted" ||
                        Reply.Code == result_code::ConfigUnchanged;
  if (Verdict.Exit == exit_code::Unknown && !Accepted)
    writeDiagnostic("the outcome is unknown; finish with --change-id " +
                    Options.ChangeId + " and the same file and base");
  if (!Accepted || Options.Output == output_format::Json)
    return Verdict.Exit;
  if (!Rollout.UpToDate.empty())
    Streams.Out << "in force at " << joinNames(Rollout.UpToDate) << "\n";
  if (Verdict.Exit == exit_code::Unknown)
    writeDiagnostic(
        "not seen in force in time at: " +
        (Rollout.Outdated.empty() ? "any entry" : joinNames(Rollout.Outdated)));
  return Verdict.Exit;
}

auto command_reporter::writeHelp() -> exit_code {
  Streams.Out << helpText();
  return exit_code::Ok;
}

} // namespace tarragon::ctl
