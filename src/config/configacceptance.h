#pragma once

#include "config/deploymentfile.h"
#include "config/internal/contentchunks.h"
#include "config/internal/headcodec.h"
#include "config/internal/headverdict.h"
#include "config/internal/requestcheck.h"
#include "config/types/acceptancesettings.h"
#include "config/types/acceptedconfig.h"
#include "config/types/applyoutcome.h"
#include "config/types/applyrequest.h"
#include "global/backoff.h"
#include "global/hash.h"
#include "store/iobjectstore.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace tarragon::config {

/// Accepts changes: one conditional write of `config/head` each. Whoever
/// writes on top of the version a change rests on wins; a lost reply is
/// resolved by reading the change id back. Has no state of its own, so that
/// any instance may finish what another began. Not thread-safe; cheap to make.
template <store::object_store Store> class config_acceptance {
public:
  /// Waits between tries; does nothing in tests.
  using pause = std::function<void(milliseconds)>;

  config_acceptance(const acceptance_settings Settings, pause Pause)
      : Settings(Settings), Pause(std::move(Pause)),
        Backoff(Settings.FirstDelay, Settings.LongestDelay, Settings.Seed) {}

  /// Tries to put a file in force and says truthfully what became of it.
  /// \p InForce is the configuration that this instance has; it saves reads.
  ///
  /// Codes: Accepted: Ok. NotAccepted: MalformedRequest (no proper change id or
  /// operator), Config* (the file's first fault), ForbiddenTeam, ConfigConflict
  /// (with winner and differences), ConfigUnchanged (the file is in force
  /// already), PlatformUnavailable (this call sent nothing that may take effect
  /// later). Unknown: ConfigOutcomeUnknown.
  auto apply(Store &Platform, const apply_request &Request,
             const accepted_config &InForce) -> apply_outcome;

  /// Reads the accepted configuration whole. Its Deployment is null when this
  /// build's parser refuses the text. Failures: ObjectMissing (none accepted
  /// yet), PlatformUnavailable, Internal (head or content is unreadable).
  auto load(Store &Platform) -> result<accepted_config>;

  /// Removes contents that no instance can need any more; the newest
  /// \p Kept versions stay. Gives the number of objects removed.
  auto collect(Store &Platform, config_version Kept = DefaultKept)
      -> result<std::size_t>;

  static constexpr config_version DefaultKept = 8;

private:
  /// The head and the object version that a write must name to replace it.
  struct seen_head {
    config_head Head;
    store::object_version Version = 0;
  };

  auto readHeadObject(Store &Platform) -> result<seen_head>;
  auto readContent(Store &Platform, const config_head &Head)
      -> result<std::string>;
  auto writeContent(Store &Platform, const config_head &Next,
                    const std::string &Text) -> result<void>;
  auto writeChunk(Store &Platform, const std::string &Key,
                  const std::string &Value) -> result<void>;
  auto deploymentOf(Store &Platform, const config_head &Head,
                    const accepted_config &InForce)
      -> result<std::shared_ptr<const deployment>>;
  auto addDifferences(Store &Platform, const config_head &Head,
                      const accepted_config &InForce, const deployment &Wanted,
                      apply_outcome Outcome) -> apply_outcome;
  auto check(Store &Platform, const config_head &Head,
             const apply_request &Request, const accepted_config &InForce,
             const deployment &Wanted) -> std::optional<apply_outcome>;
  auto tryOnce(Store &Platform, const apply_request &Request,
               const accepted_config &InForce, const deployment &Wanted)
      -> std::optional<apply_outcome>;
  auto writeBoth(Store &Platform, const seen_head &Seen,
                 const apply_request &Request) -> std::optional<apply_outcome>;

  acceptance_settings Settings;
  pause Pause;
  backoff Backoff;
  bool MayLand = false; ///< a head write was sent whose effect is unknown
  failure Last{result_code::PlatformUnavailable, {}};
};

template <store::object_store Store>
auto config_acceptance<Store>::readHeadObject(Store &Platform)
    -> result<seen_head> {
  auto Object = Platform.get(HeadKey);
  if (!Object && Object.error().Code == result_code::ObjectMissing)
    return seen_head{};
  if (!Object)
    return Object.error();
  auto Head = readHead(Object.value().Value);
  if (!Head)
    return fail(result_code::Internal, "config/head can't be read");
  return seen_head{std::move(*Head), Object.value().Version};
}

template <store::object_store Store>
auto config_acceptance<Store>::readContent(Store &Platform,
                                           const config_head &Head)
    -> result<std::string> {
  std::string Text;
  for (std::size_t Chunk = 0; Chunk < Head.Chunks; ++Chunk) {
    auto Object = Platform.get(
        contentKey(Head.InForce.Version, Head.InForce.ContentHash, Chunk));
    if (!Object)
      return Object.error();
    Text += Object.value().Value;
  }
  if (contentHash(Text) != Head.InForce.ContentHash)
    return fail(result_code::Internal,
                "The content doesn't have the hash that config/head names");
  return Text;
}

template <store::object_store Store>
auto config_acceptance<Store>::writeChunk(Store &Platform,
                                          const std::string &Key,
                                          const std::string &Value)
    -> result<void> {
  const auto Written = Platform.put(Key, Value, 0);
  if (Written)
    return succeed();
  if (Written.error().Code != result_code::ObjectConflict)
    return Written.error();
  // Its name holds its hash: whoever wrote it wrote the same, if undamaged.
  auto Present = Platform.get(Key);
  if (!Present)
    return Present.error();
  if (Present.value().Value == Value)
    return succeed();
  const auto Mended = Platform.put(Key, Value, Present.value().Version);
  if (!Mended)
    return Mended.error();
  return succeed();
}

template <store::object_store Store>
auto config_acceptance<Store>::writeContent(Store &Platform,
                                            const config_head &Next,
                                            const std::string &Text)
    -> result<void> {
  const auto Chunks = splitContent(Text, Settings.LongestValue);
  for (std::size_t Chunk = 0; Chunk < Chunks.size(); ++Chunk) {
    const auto Key =
        contentKey(Next.InForce.Version, Next.InForce.ContentHash, Chunk);
    if (auto Written = writeChunk(Platform, Key, Chunks[Chunk]); !Written)
      return Written.error();
  }
  return succeed();
}

template <store::object_store Store>
auto config_acceptance<Store>::deploymentOf(Store &Platform,
                                            const config_head &Head,
                                            const accepted_config &InForce)
    -> result<std::shared_ptr<const deployment>> {
  if (Head.InForce.Version == 0)
    return std::make_shared<const deployment>();
  if (InForce.Deployment && InForce.Version == Head.InForce.Version &&
      InForce.ContentHash == Head.InForce.ContentHash)
    return InForce.Deployment;
  const auto Text = readContent(Platform, Head);
  if (!Text)
    return Text.error();
  parsed_file File = parseDeployment(Text.value());
  if (!File.Faults.empty())
    return fail(result_code::ConfigMalformed,
                "This build can't read the file in force: " +
                    describeFault(File.Faults.front()));
  return std::make_shared<const deployment>(std::move(File.Deployment));
}

template <store::object_store Store>
auto config_acceptance<Store>::addDifferences(Store &Platform,
                                              const config_head &Head,
                                              const accepted_config &InForce,
                                              const deployment &Wanted,
                                              apply_outcome Outcome)
    -> apply_outcome {
  if (Outcome.Code != result_code::ConfigConflict)
    return Outcome;
  const auto Theirs = deploymentOf(Platform, Head, InForce);
  if (Theirs)
    Outcome.Differences = diffDeployments(*Theirs.value(), Wanted);
  return Outcome;
}

template <store::object_store Store>
auto config_acceptance<Store>::check(Store &Platform, const config_head &Head,
                                     const apply_request &Request,
                                     const accepted_config &InForce,
                                     const deployment &Wanted)
    -> std::optional<apply_outcome> {
  if (auto Refused = checkAgainstHead(Head, Request, InForce))
    return Refused;
  if (Request.Team.empty())
    return std::nullopt;
  const auto Old = deploymentOf(Platform, Head, InForce);
  if (!Old)
    return refuse(Old.error(), Head.InForce.Version);
  return checkTeam(*Old.value(), Wanted, Request, Head.InForce.Version);
}

template <store::object_store Store>
auto config_acceptance<Store>::writeBoth(Store &Platform, const seen_head &Seen,
                                         const apply_request &Request)
    -> std::optional<apply_outcome> {
  const config_head Next =
      nextHead(Seen.Head, Request, contentHash(Request.Text),
               splitContent(Request.Text, Settings.LongestValue).size());
  if (auto Content = writeContent(Platform, Next, Request.Text); !Content) {
    Last = Content.error();
    return std::nullopt;
  }
  const auto Written = Platform.put(HeadKey, writeHead(Next), Seen.Version);
  if (Written)
    return apply_outcome{apply_state::Accepted,
                         result_code::Ok,
                         Next.InForce.Version,
                         {},
                         {},
                         {}};
  Last = Written.error();
  // A conflict may stem from a first arrival of this very write.
  if (Last.Code == result_code::ReplyLost ||
      Last.Code == result_code::ObjectConflict)
    MayLand = true;
  return std::nullopt;
}

template <store::object_store Store>
auto config_acceptance<Store>::tryOnce(Store &Platform,
                                       const apply_request &Request,
                                       const accepted_config &InForce,
                                       const deployment &Wanted)
    -> std::optional<apply_outcome> {
  const auto Seen = readHeadObject(Platform);
  if (!Seen) {
    Last = Seen.error();
    return std::nullopt;
  }
  const config_head &Head = Seen.value().Head;
  if (auto Verdict = judgeHead(Head, Request))
    return addDifferences(Platform, Head, InForce, Wanted, std::move(*Verdict));
  // Once a write may land, only the head's history can tell its outcome.
  if (!MayLand)
    if (auto Refused = check(Platform, Head, Request, InForce, Wanted))
      return Refused;
  return writeBoth(Platform, Seen.value(), Request);
}

template <store::object_store Store>
auto config_acceptance<Store>::apply(Store &Platform,
                                     const apply_request &Request,
                                     const accepted_config &InForce)
    -> apply_outcome {
  MayLand = false;
  if (auto Refused = checkNames(Request, InForce.Version))
    return std::move(*Refused);
  const parsed_file File = parseDeployment(Request.Text);
  if (!File.Faults.empty())
    return refuse(
        {File.Faults.front().Code, describeFault(File.Faults.front())},
        InForce.Version);
  for (int Try = 0; Try < Settings.MostTries; ++Try) {
    if (Try > 0)
      Pause(Backoff.next());
    if (auto Outcome = tryOnce(Platform, Request, InForce, File.Deployment))
      return std::move(*Outcome);
  }
  return exhausted(Last, MayLand, InForce.Version);
}

template <store::object_store Store>
auto config_acceptance<Store>::load(Store &Platform)
    -> result<accepted_config> {
  failure Why{result_code::Internal, {}};
  for (int Try = 0; Try < Settings.MostTries; ++Try) {
    const auto Seen = readHeadObject(Platform);
    if (!Seen)
      return Seen.error();
    const config_head &Head = Seen.value().Head;
    if (Head.InForce.Version == 0)
      return fail(result_code::ObjectMissing, "No configuration is accepted");
    auto Text = readContent(Platform, Head);
    if (Text)
      return toAccepted(Head, std::move(Text.value()));
    Why = Text.error();
    // Collected meanwhile: a newer head names newer content.
    if (Why.Code != result_code::ObjectMissing)
      return Why;
    Pause(Backoff.next());
  }
  return fail(result_code::Internal, "The content is missing: " + Why.Detail);
}

template <store::object_store Store>
auto config_acceptance<Store>::collect(Store &Platform,
                                       const config_version Kept)
    -> result<std::size_t> {
  const auto Seen = readHeadObject(Platform);
  if (!Seen)
    return Seen.error();
  const auto Objects = Platform.list(ContentPrefix);
  if (!Objects)
    return Objects.error();
  std::size_t Removed = 0;
  for (const store::stored_object &Object : Objects.value()) {
    if (!isObsolete(Object.Key, Seen.value().Head, Kept))
      continue;
    const auto Done = Platform.remove(Object.Key, Object.Version);
    if (Done)
      ++Removed;
    else if (Done.error().Code == result_code::PlatformUnavailable)
      return Done.error();
  }
  return Removed;
}

} // namespace tarragon::config
