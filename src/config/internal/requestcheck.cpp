#include "config/internal/requestcheck.h"

#include "config/deploymentfile.h"
#include "config/internal/textcheck.h"
#include "global/hash.h"

namespace tarragon::config {

namespace {

constexpr std::size_t LongestName = 200; ///< bytes

auto isShortText(const std::string &Text) -> bool {
  return !Text.empty() && Text.size() <= LongestName &&
         findBadByte(Text) == Text.size();
}

} // namespace

auto refuse(const failure &Why, const config_version Seen) -> apply_outcome {
  return {apply_state::NotAccepted, Why.Code, Seen, Why.Detail, {}, {}};
}

auto exhausted(const failure &Last, const bool MayLand,
               const config_version Seen) -> apply_outcome {
  if (!MayLand && Last.Code == result_code::Internal)
    return refuse(Last, Seen);
  if (!MayLand)
    return refuse({result_code::PlatformUnavailable, Last.Detail}, Seen);
  return {apply_state::Unknown,
          result_code::ConfigOutcomeUnknown,
          Seen,
          "The change was sent but can't be read back: " + Last.Detail,
          {},
          {}};
}

auto checkNames(const apply_request &Request, const config_version Seen)
    -> std::optional<apply_outcome> {
  if (isShortText(Request.ChangeId) && isShortText(Request.Operator))
    return std::nullopt;
  return refuse({result_code::MalformedRequest,
                 "Change id and operator must be texts of 1 to " +
                     std::to_string(LongestName) + " bytes"},
                Seen);
}

auto checkAgainstHead(const config_head &Head, const apply_request &Request,
                      const accepted_config &InForce)
    -> std::optional<apply_outcome> {
  const config_version Seen = Head.InForce.Version;
  if (Seen < InForce.Version)
    return refuse({result_code::ConfigConflict,
                   "The platform holds version " + std::to_string(Seen) +
                       ", older than version " +
                       std::to_string(InForce.Version) + " in force here"},
                  InForce.Version);
  if (Seen > 0 && Head.InForce.ContentHash == contentHash(Request.Text))
    return refuse(
        {result_code::ConfigUnchanged,
         "The file equals version " + std::to_string(Seen) + " in force"},
        Seen);
  return std::nullopt;
}

auto checkTeam(const deployment &Old, const deployment &Wanted,
               const apply_request &Request, const config_version Seen)
    -> std::optional<apply_outcome> {
  std::string Teams;
  for (const std::string &Team : foreignChanges(Old, Wanted, Request.Team))
    Teams += (Teams.empty() ? "" : ", ") + Team;
  if (Teams.empty())
    return std::nullopt;
  return refuse(
      {result_code::ForbiddenTeam,
       "Team " + Request.Team + " may not change objects of " + Teams},
      Seen);
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
