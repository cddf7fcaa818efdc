#include "once/ticketledger.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace tarragon::once {

namespace {

/// Maximum number of tickets that one incarnation remembers.
constexpr std::size_t MaxRememberedTickets = std::size_t{1} << 20U;

/// Maximum number of adopted ledgers.
constexpr std::size_t MaxAdoptedLedgers = 16;

/// Number of distinct issue times within a ticket lifetime.
constexpr int IssueTimesPerLifetime = 256;

/// Retention time of a ticket, in ticket lifetimes.
constexpr int RememberedLifetimes = 2;

auto refusal(const result_code Code, std::string Detail) -> replay_answer {
  query_answer Answer;
  Answer.Code = Code;
  Answer.Detail = std::move(Detail);
  return {std::move(Answer)};
}

auto forgotten() -> replay_answer {
  return refusal(result_code::OutcomeUnknown,
                 "the outcome of the ticket is no longer recorded");
}

auto neverIssued() -> replay_answer {
  return refusal(result_code::MalformedTicket, "the ticket was never issued");
}

auto mismatch() -> replay_answer {
  return refusal(result_code::TicketMismatch,
                 "the ticket was used for another request");
}

} // namespace

ticket_ledger::ticket_ledger(instance_id Instance,
                             const incarnation Incarnation,
                             const time_point StartedAt,
                             const milliseconds TicketLifetime)
    : Instance(std::move(Instance)), Incarnation(Incarnation),
      StartedAt(StartedAt), TicketLifetime(TicketLifetime) {}

auto ticket_ledger::sinceStart(const time_point Now) const -> milliseconds {
  return std::chrono::duration_cast<milliseconds>(Now - StartedAt);
}

/// Returns the issue time, rounded down so that few batches hold all tickets of
/// a lifetime.
auto ticket_ledger::roundedIssueTime(const time_point Now) const
    -> milliseconds {
  const milliseconds Step =
      std::max(milliseconds{1}, TicketLifetime / IssueTimesPerLifetime);
  return sinceStart(Now) / Step * Step;
}

auto ticket_ledger::issue(const std::size_t Count, const time_point Now)
    -> std::vector<ticket> {
  std::vector<ticket> Tickets;
  if (Sealed)
    return Tickets;
  milliseconds IssuedAfterStart = roundedIssueTime(Now);
  if (!Batches.empty())
    IssuedAfterStart =
        std::max(IssuedAfterStart, Batches.back().IssuedAfterStart);
  const std::size_t Remembered =
      static_cast<std::size_t>(LastNumber + 1 - FirstKept);
  const std::size_t IssueCount =
      std::min(Count, MaxRememberedTickets - Remembered);
  if (IssueCount > 0 &&
      (Batches.empty() || Batches.back().IssuedAfterStart != IssuedAfterStart))
    Batches.push_back({LastNumber + 1, IssuedAfterStart});
  for (std::size_t Index = 0; Index < IssueCount; ++Index)
    Tickets.push_back({Instance, Incarnation, IssuedAfterStart, ++LastNumber});
  return Tickets;
}

auto ticket_ledger::wasIssued(const ticket &Ticket) const -> bool {
  const auto NextBatch = std::upper_bound(
      Batches.begin(), Batches.end(), Ticket.Number,
      [](const std::uint64_t Number, const issue_batch &Batch) {
        return Number < Batch.First;
      });
  return NextBatch != Batches.begin() &&
         std::prev(NextBatch)->IssuedAfterStart == Ticket.IssuedAfterStart;
}

auto ticket_ledger::begin(const ticket &Ticket, const fingerprint Fingerprint,
                          const time_point Now) -> ledger_verdict {
  if (Ticket.Instance == Instance && Ticket.Incarnation == Incarnation)
    return beginOwn(Ticket, Fingerprint, Now);

  const auto Ledger = Adopted.find({Ticket.Instance, Ticket.Incarnation});
  if (Ledger == Adopted.end()) {
    if (Ticket.Instance == Instance && Ticket.Incarnation < Incarnation)
      return forgotten();
    return forward_to{Ticket.Instance, Ticket.Incarnation};
  }
  const auto Found = Ledger->second.Answers.find(Ticket.Number);
  if (Found == Ledger->second.Answers.end()) {
    if (Ticket.Number < Ledger->second.FirstKept)
      return forgotten();
    return refusal(result_code::NotRunTicketRetired,
                   "the ticket's instance left without running it");
  }
  if (Found->second.Ticket != Ticket)
    return neverIssued();
  if (Found->second.Fingerprint != Fingerprint)
    return mismatch();
  return replay_answer{Found->second.Answer};
}

auto ticket_ledger::beginOwn(const ticket &Ticket,
                             const fingerprint Fingerprint,
                             const time_point Now) -> ledger_verdict {
  if (Ticket.Number == 0 || Ticket.Number > LastNumber)
    return neverIssued();
  if (Ticket.Number < FirstKept)
    return forgotten();
  if (!wasIssued(Ticket))
    return neverIssued();

  const auto Found = Records.find(Ticket.Number);
  if (Found == Records.end())
    return beginNew(Ticket, Fingerprint, Now);
  if (Found->second.Fingerprint != Fingerprint)
    return mismatch();
  if (Found->second.Running)
    return await_answer{};
  return replay_answer{Found->second.Answer};
}

auto ticket_ledger::beginNew(const ticket &Ticket,
                             const fingerprint Fingerprint,
                             const time_point Now) -> ledger_verdict {
  if (Sealed)
    return refusal(result_code::NotRunDraining, "the instance is leaving");
  if (sinceStart(Now) > Ticket.IssuedAfterStart + TicketLifetime)
    return refusal(result_code::NotRunTicketRetired,
                   "the ticket expired before it was used");
  Records.emplace(Ticket.Number, record{Ticket, Fingerprint, true, {}});
  ++Running;
  return run_now{};
}

auto ticket_ledger::finish(const ticket &Ticket, query_answer Answer,
                           const time_point Now) -> void {
  static_cast<void>(Now);
  if (Ticket.Instance != Instance || Ticket.Incarnation != Incarnation)
    return;
  const auto Found = Records.find(Ticket.Number);
  if (Found == Records.end() || !Found->second.Running)
    return;
  Found->second.Running = false;
  Found->second.Answer = std::move(Answer);
  --Running;
}

auto ticket_ledger::seal() -> void { Sealed = true; }

auto ticket_ledger::isFinal() const -> bool { return Sealed && Running == 0; }

auto ticket_ledger::sealedCopy() const -> sealed_ledger {
  sealed_ledger Copy{Instance, Incarnation, FirstKept, {}};
  if (!Sealed) {
    Copy.FirstKept = std::numeric_limits<std::uint64_t>::max();
    return Copy;
  }
  for (const auto &[Number, Record] : Records) {
    const query_answer &Answer =
        Record.Running ? forgotten().Answer : Record.Answer;
    Copy.Answers.push_back({Record.Ticket, Record.Fingerprint, Answer});
  }
  return Copy;
}

auto ticket_ledger::adopt(sealed_ledger Ledger, const time_point Now) -> void {
  if (Ledger.Instance == Instance && Ledger.Incarnation == Incarnation)
    return;
  adopted_ledger NewLedger{Ledger.FirstKept, {}, Now};
  for (recorded_answer &Answer : Ledger.Answers) {
    const std::uint64_t Number = Answer.Ticket.Number;
    NewLedger.Answers.emplace(Number, std::move(Answer));
  }
  Adopted[{Ledger.Instance, Ledger.Incarnation}] = std::move(NewLedger);
  if (Adopted.size() > MaxAdoptedLedgers)
    dropOldestAdopted();
}

auto ticket_ledger::dropOldestAdopted() -> void {
  const auto Oldest = std::min_element(
      Adopted.begin(), Adopted.end(), [](const auto &Left, const auto &Right) {
        return Left.second.AdoptedAt < Right.second.AdoptedAt;
      });
  Adopted.erase(Oldest);
}

auto ticket_ledger::expire(const time_point Now) -> void {
  const milliseconds RetentionTime = TicketLifetime * RememberedLifetimes;
  while (!Batches.empty() &&
         Batches.front().IssuedAfterStart + RetentionTime < sinceStart(Now)) {
    Batches.pop_front();
    FirstKept = Batches.empty() ? LastNumber + 1 : Batches.front().First;
  }
  for (auto At = Records.begin();
       At != Records.end() && At->first < FirstKept;) {
    if (At->second.Running)
      --Running;
    At = Records.erase(At);
  }
  std::erase_if(Adopted, [Now, RetentionTime](const auto &Entry) {
    return Entry.second.AdoptedAt + RetentionTime < Now;
  });
}

auto ticket_ledger::size() const -> std::size_t {
  std::size_t Count = Records.size();
  for (const auto &[Key, Ledger] : Adopted)
    Count += Ledger.Answers.size();
  return Count;
}

} // namespace tarragon::once
