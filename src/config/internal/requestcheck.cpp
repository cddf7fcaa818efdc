#include "config/internal/requestcheck.h"

#include "config/deploymentfile.h"
#include "config/internal/textcheck.h"
#include "global/hash.h"

namespace tarragon::config {

namespace {

constexpr std::size_t MaxTextBytes = 200;

auto isShortText(const std::string &Text) -> bool {
  return !Text.empty() && Text.size() <= MaxTextBytes &&
         findInvalidByte(Text) == Text.size();
}

} // namespace

auto refuse(const failure &Error, const config_version KnownVersion)
    -> apply_outcome {
  return {
      apply_state::NotAccepted, Error.Code, KnownVersion, Error.Detail, {}, {}};
}

auto makeExhaustedOutcome(const failure &LastFailure, const bool MayTakeEffect,
                          const config_version KnownVersion) -> apply_outcome {
  if (!MayTakeEffect && LastFailure.Code == result_code::Internal)
    return refuse(LastFailure, KnownVersion);
  if (!MayTakeEffect)
    return refuse({result_code::PlatformUnavailable, LastFailure.Detail},
                  KnownVersion);
  return {apply_state::Unknown,
          result_code::ConfigOutcomeUnknown,
          KnownVersion,
          "The change was sent, but its outcome can't be read: " +
              LastFailure.Detail,
          {},
          {}};
}

auto checkChangeIdAndOperator(const apply_request &Request,
                              const config_version KnownVersion)
    -> std::optional<apply_outcome> {
  if (isShortText(Request.ChangeId) && isShortText(Request.Operator))
    return std::nullopt;
  return refuse({result_code::MalformedRequest,
                 "Change id and operator must be UTF-8 texts of 1 to " +
                     std::to_string(MaxTextBytes) + " bytes"},
                KnownVersion);
}

auto checkAgainstHead(const config_head &Head, const apply_request &Request,
                      const accepted_config &InForce)
    -> std::optional<apply_outcome> {
  const config_version KnownVersion = Head.InForce.Version;
  if (KnownVersion < InForce.Version)
    return refuse({result_code::ConfigConflict,
                   "The platform holds version " +
                       std::to_string(KnownVersion) + ", older than version " +
                       std::to_string(InForce.Version) + " in force here"},
                  InForce.Version);
  if (KnownVersion > 0 && Head.InForce.ContentHash == contentHash(Request.Text))
    return refuse({result_code::ConfigUnchanged,
                   "The file is identical to version " +
                       std::to_string(KnownVersion) + " in force"},
                  KnownVersion);
  return std::nullopt;
}

auto checkTeam(const deployment &Old, const deployment &Requested,
               const apply_request &Request, const config_version KnownVersion)
    -> std::optional<apply_outcome> {
  std::string Teams;
  for (const std::string &Team : foreignChanges(Old, Requested, Request.Team))
    Teams += (Teams.empty() ? "" : ", ") + Team;
  if (Teams.empty())
    return std::nullopt;
  return refuse(
      {result_code::ForbiddenTeam,
       "Team " + Request.Team + " may not change objects of " + Teams},
      KnownVersion);
}

auto toAccepted(const config_head &Head, std::string Text) -> accepted_config {
  accepted_config Config;
  Config.Version = Head.InForce.Version;
  Config.ContentHash = Head.InForce.ContentHash;
  Config.ChangeId = Head.InForce.ChangeId;
  Config.Operator = Head.InForce.Operator;
  parsed_file File = parseDeployment(Text);
  if (File.Faults.empty())
    Config.Deployment =
        std::make_shared<const deployment>(std::move(File.Deployment));
  Config.Text = std::move(Text);
  return Config;
}

auto describeFault(const config_fault &Fault) -> std::string {
  return std::to_string(Fault.Line) + ":" + std::to_string(Fault.Column) +
         ": " + Fault.Detail;
}

} // namespace tarragon::config
