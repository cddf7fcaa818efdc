#pragma once

#include "config/deploymentfile.h"
#include "config/internal/contentchunks.h"
#include "config/internal/headcodec.h"
#include "config/internal/headhistory.h"
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

/// Protocol that accepts configuration changes, each by one conditional write
/// of `config/head`. Of the changes with the same base version, the first one
/// written is accepted. If the reply to a write is lost, the outcome is
/// determined by looking up the change id in the head. Changes are recorded
/// only in the store, so that any instance can finish a change that another one
/// started. Not thread-safe; cheap to construct.
template <store::object_store Store> class config_acceptance {
public:
  /// Waits between attempts; does nothing in tests.
  using pause = std::function<void(milliseconds)>;

  config_acceptance(const acceptance_settings Settings, pause Pause)
      : Settings(Settings), Pause(std::move(Pause)),
        Backoff(Settings.InitialDelay, Settings.MaxDelay, Settings.JitterSeed) {
  }

  /// Tries to put a file in force and returns the outcome. \p InForce is the
  /// configuration in force at this instance; passing it saves reads.
  ///
  /// Codes: Accepted: Ok. NotAccepted: MalformedRequest (invalid change id or
  /// operator), Config* (the file's first fault), ForbiddenTeam, ConfigConflict
  /// (with winner and differences), ConfigUnchanged (the file is already in
  /// force), Internal (the stored configuration is unreadable),
  /// PlatformUnavailable (this call sent no write that may take effect later).
  /// Unknown: ConfigOutcomeUnknown.
  auto apply(Store &Platform, const apply_request &Request,
             const accepted_config &InForce) -> apply_outcome;

  /// Reads the complete accepted configuration. Its Deployment is null when
  /// this build's parser refuses the text. Failures: ObjectMissing (none
  /// accepted yet), PlatformUnavailable, Internal (head or content is
  /// unreadable).
  auto load(Store &Platform) -> result<accepted_config>;

  /// Removes obsolete contents and returns the number of objects removed. The
  /// newest \p KeptVersions versions are kept.
  auto removeObsoleteContents(Store &Platform,
                              config_version KeptVersions = DefaultKeptVersions)
      -> result<std::size_t>;

  static constexpr config_version DefaultKeptVersions = 8;

private:
  /// The head and its object version, the condition of a write that replaces
  /// it.
  struct versioned_head {
    config_head Head;
    store::object_version Version = 0;
  };

  auto readHeadObject(Store &Platform) -> result<versioned_head>;
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
                      const accepted_config &InForce,
                      const deployment &Requested, apply_outcome Outcome)
      -> apply_outcome;
  auto checkRequest(Store &Platform, const config_head &Head,
                    const apply_request &Request,
                    const accepted_config &InForce, const deployment &Requested)
      -> std::optional<apply_outcome>;
  auto attemptOnce(Store &Platform, const apply_request &Request,
                   const accepted_config &InForce, const deployment &Requested)
      -> std::optional<apply_outcome>;
  auto writeContentAndHead(Store &Platform, const versioned_head &CurrentHead,
                           const apply_request &Request)
      -> std::optional<apply_outcome>;

  acceptance_settings Settings;
  pause Pause;
  backoff Backoff;
  /// A head write was sent whose outcome is unknown.
  bool MayTakeEffect = false;
  failure LastFailure{result_code::PlatformUnavailable, {}};
};

template <store::object_store Store>
auto config_acceptance<Store>::readHeadObject(Store &Platform)
    -> result<versioned_head> {
  auto Object = Platform.get(HeadKey);
  if (!Object && Object.error().Code == result_code::ObjectMissing)
    return versioned_head{};
  if (!Object)
    return Object.error();
  auto Head = readHead(Object.value().Value);
  if (!Head)
    return fail(result_code::Internal, "config/head can't be parsed");
  return versioned_head{std::move(*Head), Object.value().Version};
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
                "The hash of the content differs from the one in config/head");
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
  // The key contains the content hash, so an existing object has the same
  // value unless it is damaged; a damaged one is overwritten.
  auto Existing = Platform.get(Key);
  if (!Existing)
    return Existing.error();
  if (Existing.value().Value == Value)
    return succeed();
  const auto Overwritten = Platform.put(Key, Value, Existing.value().Version);
  if (!Overwritten)
    return Overwritten.error();
  return succeed();
}

template <store::object_store Store>
auto config_acceptance<Store>::writeContent(Store &Platform,
                                            const config_head &Next,
                                            const std::string &Text)
    -> result<void> {
  const auto Chunks = splitContent(Text, Settings.MaxObjectBytes);
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
                "This build can't parse the file in force: " +
                    describeFault(File.Faults.front()));
  return std::make_shared<const deployment>(std::move(File.Deployment));
}

template <store::object_store Store>
auto config_acceptance<Store>::addDifferences(Store &Platform,
                                              const config_head &Head,
                                              const accepted_config &InForce,
                                              const deployment &Requested,
                                              apply_outcome Outcome)
    -> apply_outcome {
  if (Outcome.Code != result_code::ConfigConflict)
    return Outcome;
  const auto Current = deploymentOf(Platform, Head, InForce);
  if (Current)
    Outcome.Differences = diffDeployments(*Current.value(), Requested);
  return Outcome;
}

template <store::object_store Store>
auto config_acceptance<Store>::checkRequest(Store &Platform,
                                            const config_head &Head,
                                            const apply_request &Request,
                                            const accepted_config &InForce,
                                            const deployment &Requested)
    -> std::optional<apply_outcome> {
  if (auto Refused = checkAgainstHead(Head, Request, InForce))
    return Refused;
  if (Request.Team.empty())
    return std::nullopt;
  const auto Old = deploymentOf(Platform, Head, InForce);
  if (!Old)
    return refuse(Old.error(), Head.InForce.Version);
  return checkTeam(*Old.value(), Requested, Request, Head.InForce.Version);
}

template <store::object_store Store>
auto config_acceptance<Store>::writeContentAndHead(
    Store &Platform, const versioned_head &CurrentHead,
    const apply_request &Request) -> std::optional<apply_outcome> {
  const config_head Next =
      nextHead(CurrentHead.Head, Request, contentHash(Request.Text),
               splitContent(Request.Text, Settings.MaxObjectBytes).size());
  if (auto Content = writeContent(Platform, Next, Request.Text); !Content) {
    LastFailure = Content.error();
    return std::nullopt;
  }
  const auto Written =
      Platform.put(HeadKey, writeHead(Next), CurrentHead.Version);
  if (Written)
    return apply_outcome{apply_state::Accepted,
                         result_code::Ok,
                         Next.InForce.Version,
                         {},
                         {},
                         {}};
  LastFailure = Written.error();
  // A conflict may come from an earlier delivery of this same write.
  if (LastFailure.Code == result_code::ReplyLost ||
      LastFailure.Code == result_code::ObjectConflict)
    MayTakeEffect = true;
  return std::nullopt;
}

template <store::object_store Store>
auto config_acceptance<Store>::attemptOnce(Store &Platform,
                                           const apply_request &Request,
                                           const accepted_config &InForce,
                                           const deployment &Requested)
    -> std::optional<apply_outcome> {
  const auto CurrentHead = readHeadObject(Platform);
  if (!CurrentHead) {
    LastFailure = CurrentHead.error();
    return std::nullopt;
  }
  const config_head &Head = CurrentHead.value().Head;
  if (auto Outcome = deriveOutcome(Head, Request))
    return addDifferences(Platform, Head, InForce, Requested,
                          std::move(*Outcome));
  // Once a write may take effect, only the head's history proves its outcome.
  if (!MayTakeEffect)
    if (auto Refused =
            checkRequest(Platform, Head, Request, InForce, Requested))
      return Refused;
  return writeContentAndHead(Platform, CurrentHead.value(), Request);
}

template <store::object_store Store>
auto config_acceptance<Store>::apply(Store &Platform,
                                     const apply_request &Request,
                                     const accepted_config &InForce)
    -> apply_outcome {
  MayTakeEffect = false;
  if (auto Refused = checkChangeIdAndOperator(Request, InForce.Version))
    return std::move(*Refused);
  const parsed_file File = parseDeployment(Request.Text);
  if (!File.Faults.empty())
    return refuse(
        {File.Faults.front().Code, describeFault(File.Faults.front())},
        InForce.Version);
  for (int Attempt = 0; Attempt < Settings.MaxAttempts; ++Attempt) {
    if (Attempt > 0)
      Pause(Backoff.next());
    if (auto Outcome = attemptOnce(Platform, Request, InForce, File.Deployment))
      return std::move(*Outcome);
  }
  return makeExhaustedOutcome(LastFailure, MayTakeEffect, InForce.Version);
}

template <store::object_store Store>
auto config_acceptance<Store>::load(Store &Platform)
    -> result<accepted_config> {
  failure Error{result_code::Internal, {}};
  for (int Attempt = 0; Attempt < Settings.MaxAttempts; ++Attempt) {
    const auto CurrentHead = readHeadObject(Platform);
    if (!CurrentHead)
      return CurrentHead.error();
    const config_head &Head = CurrentHead.value().Head;
    if (Head.InForce.Version == 0)
      return fail(result_code::ObjectMissing,
                  "No configuration has been accepted yet");
    auto Text = readContent(Platform, Head);
    if (Text)
      return toAccepted(Head, std::move(Text.value()));
    Error = Text.error();
    // If the content is missing, it was removed after the head was read: a
    // newer head refers to newer content.
    if (Error.Code != result_code::ObjectMissing)
      return Error;
    Pause(Backoff.next());
  }
  return fail(result_code::Internal, "The content is missing: " + Error.Detail);
}

template <store::object_store Store>
auto config_acceptance<Store>::removeObsoleteContents(
    Store &Platform, const config_version KeptVersions) -> result<std::size_t> {
  const auto CurrentHead = readHeadObject(Platform);
  if (!CurrentHead)
    return CurrentHead.error();
  const auto Objects = Platform.list(ContentPrefix);
  if (!Objects)
    return Objects.error();
  std::size_t Removed = 0;
  for (const store::stored_object &Object : Objects.value()) {
    if (!isObsolete(Object.Key, CurrentHead.value().Head, KeptVersions))
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
