// Client accounts of callers and their quotas.
#include "entry/entry.h"
#include "entry/refusedanswer.h"
#include "global/log.h"
#include "world/types/accountheaders.h"

#include <algorithm>

namespace tarragon::entry {

namespace {

auto now() -> time_point { return std::chrono::steady_clock::now(); }

} // namespace

auto entry::identifyCaller(const std::shared_ptr<const deployment> &Deployment,
                           const contract *const Contract,
                           query_request &Request)
    -> std::optional<query_answer> {
  // Another instance may have run the request of a ticket for an account that
  // isn't known here yet.
  if (!Deployment && !Request.ApiKeys.empty())
    return refusedAnswer(Request, result_code::OutcomeUnknown,
                         "no configuration is in force yet");
  const caller_identity Caller = Accounts.identify(Deployment, Request.ApiKeys);
  Request.Account = Caller.Account;
  Request.Priority = Caller.Priority;
  if (Caller.Fault.empty() || (Contract && Contract->Public))
    return std::nullopt;
  logRefusedKey(Request, Caller.Fault);
  return refusedAnswer(Request, result_code::UnknownKey,
                       std::string("one valid key is required in ") +
                           ApiKeyHeader);
}

auto entry::logRefusedKey(const query_request &Request,
                          const std::string_view Fault) -> void {
  std::uint64_t Unlogged = 0;
  {
    const std::lock_guard Lock(RefusalLineMutex);
    if (!RefusalLines.tryAcquire(now()))
      return;
    Unlogged = RefusalLines.takeRejected();
  }
  log::write(log::level::Info, log::part::Admission, "key refused",
             {{"request", Request.RequestId},
              {"contract", Request.Contract},
              {"cause", std::string(Fault)},
              {"unlogged", std::to_string(Unlogged)}});
}

auto entry::admitByQuota(const query_request &Request)
    -> std::optional<query_answer> {
  if (Request.Account.empty())
    return std::nullopt;
  const auto Decision = Quotas->tryAcquire(Request.Account);
  if (Decision.IsAdmitted)
    return std::nullopt;
  // Callers refused at the same time must not retry at the same time, nor
  // before a token is due.
  std::uniform_real_distribution<> Factor(1.0, 1.5);
  milliseconds RetryAfter{0};
  {
    const std::lock_guard Lock(GateMutex);
    RetryAfter = std::chrono::ceil<milliseconds>(Decision.RetryAfter *
                                                 Factor(GateRandom));
  }
  logOverQuota(Request, RetryAfter);
  query_answer Answer =
      refusedAnswer(Request, result_code::NotRunOverQuota,
                    "account " + Request.Account + " is over its quota");
  Answer.RetryAfter = RetryAfter;
  return Answer;
}

auto entry::logOverQuota(const query_request &Request,
                         const milliseconds RetryAfter) -> void {
  std::uint64_t Unlogged = 0;
  {
    const std::lock_guard Lock(RefusalLineMutex);
    if (!RefusalLines.tryAcquire(now()))
      return;
    Unlogged = RefusalLines.takeRejected();
  }
  const account::quota_status Status = Quotas->status();
  log::write(log::level::Info, log::part::Admission, "account over its quota",
             {{"request", Request.RequestId},
              {"account", Request.Account},
              {"version", std::to_string(inForce().Version)},
              {"knows_levels", Status.KnowsLevels ? "true" : "false"},
              {"peers_heard", std::to_string(Status.Heard)},
              {"peers_silent", std::to_string(Status.Silent)},
              {"retry_after_ms", std::to_string(RetryAfter.count())},
              {"unlogged", std::to_string(Unlogged)}});
}

auto entry::onInstanceList(const std::vector<instance> &List) -> void {
  const auto IsSelf = [this](const instance &Each) {
    return Each.Id == Settings.Self.Id;
  };
  IsListedAlone =
      !List.empty() && std::all_of(List.begin(), List.end(), IsSelf);
  Members->adoptInstanceList(List);
  updateQuotaPeers();
}

auto entry::updateQuotaPeers() -> void {
  // Otherwise an older list could be set last.
  const std::lock_guard Lock(QuotaPeersMutex);
  const auto Current = Config ? inForce().Deployment : nullptr;
  if (!Current || !Current->Accounts)
    return;
  account::quota_peers NewPeers;
  NewPeers.Self = Settings.Self.PeerAddress;
  NewPeers.IsServing = !Draining;
  const auto All = Members->members();
  NewPeers.Live = static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [](const instance &Member) {
        return Member.State != instance_state::Dead;
      }));
  for (const instance &Member : filterConfigured(All)) {
    if (Member.Id == Settings.Self.Id)
      continue;
    if (Member.State == instance_state::Leaving)
      Quotas->onLeft(Member);
    else if (Member.State != instance_state::Dead)
      NewPeers.Serving.push_back(Member.PeerAddress);
  }
  const bool HasSeeds =
      std::any_of(Settings.Seeds.begin(), Settings.Seeds.end(),
                  [this](const address &Seed) {
                    return Seed != Settings.Self.PeerAddress;
                  });
  NewPeers.IsAlone = Current->MaxInstances == 1 ||
                     (All.size() <= 1 && !HasSeeds && IsListedAlone);
  Quotas->setInstances(NewPeers);
}

auto entry::sendUsage(const address &To, account::usage_report Report) -> void {
  instance Receiver;
  Receiver.PeerAddress = To;
  for (const instance &Member : Members->members())
    if (Member.PeerAddress == To)
      Receiver = Member;
  Peers->send(Receiver, peer::usage_message{std::move(Report)});
}

} // namespace tarragon::entry
