#pragma once

#include "once/types/ledgerverdict.h"
#include "once/types/sealedledger.h"
#include "once/types/ticket.h"

#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace tarragon::once {

/// Issues tickets and remembers what became of each. Only the life of the
/// instance that issued a ticket may run it. Pure; not locked.
///
/// A ticket may be begun for one lifetime and is remembered for two; after
/// that its outcome is unknown.
class ticket_ledger {
public:
  ticket_ledger(instance_id Instance, incarnation Incarnation,
                time_point Started, milliseconds TicketLifetime);

  /// Gives \p Count tickets, or fewer when sealed or when too many are
  /// remembered.
  auto issue(std::size_t Count, time_point Now) -> std::vector<ticket>;

  /// What to do with a request that shows \p Ticket. Refusals are told as
  /// replays: MalformedTicket, TicketMismatch, NotRunDraining,
  /// NotRunTicketRetired, OutcomeUnknown. After a not-run code the ticket
  /// never runs.
  auto begin(const ticket &Ticket, fingerprint Fingerprint, time_point Now)
      -> ledger_verdict;

  /// Records the answer of a ticket for which begin() said run_now.
  auto finish(const ticket &Ticket, query_answer Answer, time_point Now)
      -> void;

  /// Refuses every ticket not yet begun from now on.
  auto seal() -> void;

  /// Whether sealed with nothing running: the ledger is final.
  auto settled() const -> bool;

  /// What may be told of this life's tickets. Whatever still runs is in it as
  /// OutcomeUnknown; a ledger not yet sealed gives one that knows nothing.
  auto sealedCopy() const -> sealed_ledger;

  /// Takes the final ledger of another instance's life; kept for two
  /// lifetimes.
  auto adopt(sealed_ledger Ledger, time_point Now) -> void;

  /// Forgets tickets past their lifetime.
  auto expire(time_point Now) -> void;

  /// Records of tickets held, adopted ones included.
  auto size() const -> std::size_t;

private:
  using life = std::pair<instance_id, incarnation>;

  /// What became of one ticket of this life.
  struct record {
    ticket Ticket;
    fingerprint Fingerprint = 0;
    bool Running = true;
    query_answer Answer; ///< once not running
  };

  /// Tickets that bear the same time of issue.
  struct issue_batch {
    std::uint64_t First = 0; ///< lowest number
    milliseconds Issued{0};
  };

  /// A final ledger of another life, by ticket number.
  struct adopted_ledger {
    std::uint64_t FirstKept = 0;
    std::map<std::uint64_t, recorded_answer> Answers;
    time_point At;
  };

  auto sinceStart(time_point Now) const -> milliseconds;
  auto stamp(time_point Now) const -> milliseconds;
  auto beginOwn(const ticket &Ticket, fingerprint Fingerprint, time_point Now)
      -> ledger_verdict;
  auto beginNew(const ticket &Ticket, fingerprint Fingerprint, time_point Now)
      -> ledger_verdict;
  auto wasIssued(const ticket &Ticket) const -> bool;
  auto dropOldestAdopted() -> void;

  instance_id Instance;
  incarnation Incarnation;
  time_point Started;
  milliseconds TicketLifetime;
  bool Sealed = false;
  std::uint64_t LastNumber = 0;
  std::uint64_t FirstKept = 1;     ///< lower numbers are forgotten
  std::deque<issue_batch> Batches; ///< ascending
  std::map<std::uint64_t, record> Records;
  std::size_t Running = 0;
  std::map<life, adopted_ledger> Adopted;
};

} // namespace tarragon::once
