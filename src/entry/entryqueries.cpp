// Queries of callers.
#include "entry/entry.h"

#include "entry/refusedanswer.h"
#include "global/hash.h"
#include "global/log.h"

#include <algorithm>

namespace tarragon::entry {

namespace {

/// Added to a contract's deadline when a ticket's request is forwarded to the
/// instance that issued the ticket.
constexpr milliseconds ForwardTimeoutMargin{2000};
/// Fraction of the contract's deadline after which an answer counts as late.
constexpr double LateDeadlineShare = 0.6;

auto now() -> time_point { return std::chrono::steady_clock::now(); }

auto computeFingerprint(const query_request &Request) -> fingerprint {
  return hash64(Request.Contract + '\0' + Request.Key + '\0' + Request.Body);
}

/// Returns the fingerprint by which a ticket identifies its request. Only the
/// account that used a ticket first receives its recorded answer.
auto computeTicketFingerprint(const query_request &Request) -> fingerprint {
  const fingerprint Fingerprint = computeFingerprint(Request);
  return Request.Account.empty() ? Fingerprint
                                 : hash64(Request.Account, Fingerprint);
}

/// Returns whether the request itself was wrong, or its account over its quota.
/// Such requests do not consume the error budget.
auto isCallerError(const result_code Code) -> bool {
  if (Code == result_code::NotRunOverQuota)
    return true;
  constexpr int First = 100;
  constexpr int Last = 199;
  return static_cast<int>(Code) >= First && static_cast<int>(Code) <= Last;
}

/// Returns the refusal of a request whose contract is not known here.
auto refuseUnknownContract(const query_request &Request, const bool Configured)
    -> query_answer {
  if (!Configured)
    return refusedAnswer(Request, result_code::NotRunNoConfiguration, "");
  return refusedAnswer(Request, result_code::UnknownContract,
                       "'" + Request.Contract + "'");
}

/// Returns whether the answer lacks shards because replica groups were
/// overloaded.
auto lostShardToOverload(const query_answer &Answer) -> bool {
  const auto &Missing = Answer.Coverage.Missing;
  return std::any_of(Missing.begin(), Missing.end(), [](const auto &Shard) {
    return Shard.Reason == attempt_outcome::NotRun ||
           Shard.Reason == attempt_outcome::Shed;
  });
}

} // namespace

auto entry::query(query_request Request, const bool Forwarded,
                  std::function<void(query_answer)> Done) -> void {
  const time_point Started = now();
  // Callers that honour the address lifetime no longer use this address. A
  // request with a ticket still reaches the ledger, which records whether it
  // ran.
  if (addressLifetimeExpired() && !Request.Ticket)
    return Done(refusedAnswer(Request, result_code::NotRunDraining));
  if (Request.RequestId.empty())
    Request.RequestId =
        Settings.Self.Id + "-" + std::to_string(++LastRequestNumber);
  const auto Current = inForce().Deployment;
  const contract *const Contract =
      Current ? Current->findContract(Request.Contract) : nullptr;
  // The ticket is checked before the contract: another instance may have run
  // the request, even if this one has no configuration yet.
  const bool ByTicket = Request.Ticket && !(Contract && Contract->Repeatable);
  if (!Contract && !ByTicket)
    return Done(refuseUnknownContract(Request, Current != nullptr));
  auto Recorded = [this, Started, Id = Contract ? Contract->Id : contract_id(),
                   Done = std::move(Done)](query_answer Answer) {
    recordRequest(Answer, Id, Started);
    Done(std::move(Answer));
  };
  if (auto Refused = identifyCaller(Current, Contract, Request))
    return Recorded(std::move(*Refused));
  if (Contract && Contract->Repeatable)
    return runQuery(std::move(Request), std::move(Recorded));
  const milliseconds Deadline = Contract ? Contract->Deadline : milliseconds{0};
  const fingerprint Fingerprint = computeTicketFingerprint(Request);
  Once->handle(std::move(Request), Fingerprint, Forwarded,
               Deadline + ForwardTimeoutMargin, std::move(Recorded));
}

auto entry::runQuery(query_request Request,
                     std::function<void(query_answer)> Done) -> void {
  const fingerprint Fingerprint = computeFingerprint(Request);
  auto Verdict = admission::poison_verdict::Clear;
  {
    const std::lock_guard Lock(PoisonMutex);
    Verdict = Poison.verdict(Fingerprint, now());
  }
  if (Verdict == admission::poison_verdict::Held)
    return Done(refusedAnswer(Request, result_code::NotRunPoisonHeld));
  if (auto Refused = admitByQuota(Request))
    return Done(std::move(*Refused));
  Done = [this, Account = Request.Account,
          Done = std::move(Done)](query_answer Answer) {
    if (!Account.empty() && isNotRun(Answer.Code))
      Quotas->refund(Account);
    Done(std::move(Answer));
  };
  if (!admitQuery(Request.Contract, Request.Priority))
    return Done(refusedAnswer(Request, result_code::NotRunOverload,
                              "load shedding: this contract is overloaded"));
  const bool Suspect = Verdict == admission::poison_verdict::Suspect;
  const auto Current = inForce().Deployment;
  const contract *const Found =
      Current ? Current->findContract(Request.Contract) : nullptr;
  if (!Found)
    return Done(refuseUnknownContract(Request, Current != nullptr));
  const contract Contract = *Found;
  Queries->run(std::move(Request), Current, Fingerprint, Suspect,
               [this, Contract, Fingerprint, Started = now(),
                Done = std::move(Done)](query_answer A) {
                 onQueryEnd(Contract, Fingerprint, A, Started);
                 if (A.Code == result_code::NotRunOverload &&
                     isQuarantined(Fingerprint))
                   A.Code = result_code::NotRunPoisonHeld;
                 Done(std::move(A));
               });
}

auto entry::isQuarantined(const fingerprint Fingerprint) -> bool {
  const std::lock_guard Lock(PoisonMutex);
  return Poison.verdict(Fingerprint, now()) == admission::poison_verdict::Held;
}

auto entry::admitQuery(const contract_id &Contract, const int Priority)
    -> bool {
  const std::lock_guard Lock(GateMutex);
  return Gate.admit(Contract, GateRandom(), now(), Priority);
}

auto entry::onQueryEnd(const contract &Contract, const fingerprint Fingerprint,
                       const query_answer &Answer, const time_point Started)
    -> void {
  // Groups also refuse quarantined requests, which says nothing about load.
  if (!isQuarantined(Fingerprint)) {
    const std::lock_guard Lock(GateMutex);
    const bool Late = now() - Started > Contract.Deadline * LateDeadlineShare;
    Gate.onFinished(Contract.Id,
                    {lostShardToOverload(Answer), Late, Contract.Deadline},
                    Started, now());
  }
  if (Answer.Code != result_code::Ok)
    return;
  const std::lock_guard Lock(PoisonMutex);
  Poison.recordSuccess(Fingerprint);
}

auto entry::recordRequest(const query_answer &Answer,
                          const contract_id &Contract, const time_point Started)
    -> void {
  const auto Latency =
      std::chrono::duration_cast<microseconds>(now() - Started);
  const bool Complete = Answer.Code == result_code::Ok;
  if (!isCallerError(Answer.Code)) {
    const std::lock_guard Lock(BurnMutex);
    Burn.record(Contract, Latency, Complete, now());
  }
  const std::string Result(resultRow(Answer.Code).Name);
  Metrics
      .counter("tarragon_requests_total",
               {{"contract", Contract}, {"result", Result}})
      .add();
  Metrics.counter("tarragon_attempts_total", {{"contract", Contract}})
      .add(Answer.Attempts);
  Metrics.summary("tarragon_request_seconds", {{"contract", Contract}})
      .observe(Latency);
  log::write(log::level::Debug, log::part::Query, "request ended",
             {{"request", Answer.RequestId},
              {"contract", Contract},
              {"result", Result},
              {"us", std::to_string(Latency.count())}});
}

} // namespace tarragon::entry
