#include "config/internal/headhistory.h"

#include "global/hash.h"

#include <algorithm>
#include <charconv>

namespace tarragon::config {

namespace {

constexpr std::size_t MaxRecentChanges = 64;

template <class Predicate>
auto findChange(const config_head &Head, const Predicate &Matches)
    -> const accepted_change * {
  const auto Found =
      std::find_if(Head.Recent.begin(), Head.Recent.end(), Matches);
  return Found == Head.Recent.end() ? nullptr : &*Found;
}

auto conflict(const config_head &Head, const std::string &Winner,
              std::string Detail) -> apply_outcome {
  return {apply_state::NotAccepted,
          result_code::ConfigConflict,
          Head.InForce.Version,
          std::move(Detail),
          Winner,
          {}};
}

} // namespace

auto deriveOutcome(const config_head &Head, const apply_request &Request)
    -> std::optional<apply_outcome> {
  const auto *const Own =
      findChange(Head, [&Request](const accepted_change &Change) {
        return Change.ChangeId == Request.ChangeId;
      });
  if (Own != nullptr && Own->ContentHash != contentHash(Request.Text))
    return conflict(Head, Own->Operator,
                    "The change id was already used for another file");
  if (Own != nullptr)
    return apply_outcome{
        apply_state::Accepted, result_code::Ok, Own->Version, {}, {}, {}};
  if (Head.InForce.Version == Request.Base)
    return std::nullopt;
  const std::string InForce = "version " +
                              std::to_string(Head.InForce.Version) + " by " +
                              Head.InForce.Operator + " is in force";
  if (Head.InForce.Version < Request.Base)
    return conflict(Head, Head.InForce.Operator,
                    "The plan is based on version " +
                        std::to_string(Request.Base) + ", but " + InForce);
  const auto *const Winner =
      findChange(Head, [&Request](const accepted_change &Change) {
        return Change.Version == Request.Base + 1;
      });
  if (Winner != nullptr)
    return conflict(Head, Winner->Operator,
                    "The plan is based on version " +
                        std::to_string(Request.Base) + ", but version " +
                        std::to_string(Winner->Version) + " by " +
                        Winner->Operator + " was accepted first; " + InForce);
  return apply_outcome{apply_state::Unknown,
                       result_code::ConfigOutcomeUnknown,
                       Head.InForce.Version,
                       "The record of accepted changes no longer reaches "
                       "back to the base version of the plan; " +
                           InForce,
                       {},
                       {}};
}

auto nextHead(const config_head &Head, const apply_request &Request,
              const std::string &ContentHash, const std::size_t Chunks)
    -> config_head {
  config_head Next = Head;
  Next.InForce = {Head.InForce.Version + 1, Request.ChangeId, Request.Operator,
                  ContentHash};
  Next.Chunks = Chunks;
  Next.Recent.insert(Next.Recent.begin(), Next.InForce);
  if (Next.Recent.size() > MaxRecentChanges)
    Next.Recent.resize(MaxRecentChanges);
  return Next;
}

auto contentKey(const config_version Version, const std::string &ContentHash,
                const std::size_t Chunk) -> std::string {
  return ContentPrefix + std::to_string(Version) + "-" + ContentHash + "/" +
         std::to_string(Chunk);
}

auto isObsolete(const std::string &Key, const config_head &Head,
                const config_version KeptVersions) -> bool {
  const std::string Prefix = ContentPrefix;
  if (!Key.starts_with(Prefix))
    return false;
  config_version Version = 0;
  const char *const End = Key.data() + Key.size();
  const auto [Rest, Error] =
      std::from_chars(Key.data() + Prefix.size(), End, Version);
  if (Error != std::errc{} || Rest == End || *Rest != '-')
    return false;
  // A change with a version above the head's may still be accepted.
  if (Version > Head.InForce.Version)
    return false;
  if (Version + KeptVersions <= Head.InForce.Version)
    return true;
  const std::string Hash =
      Key.substr(static_cast<std::size_t>(Rest - Key.data()) + 1);
  const auto *const Accepted =
      findChange(Head, [Version](const accepted_change &Change) {
        return Change.Version == Version;
      });
  return Accepted != nullptr && !Hash.starts_with(Accepted->ContentHash + "/");
}

} // namespace tarragon::config
