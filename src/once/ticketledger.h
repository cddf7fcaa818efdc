#pragma once

#include "once/types/ledgerverdict.h"
#include "once/types/sealedledger.h"
#include "once/types/ticket.h"

#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace tarragon::once {

/// Issues tickets and records the answer of each. Only the incarnation that
/// issued a ticket may run it. Does no I/O and reads no clock; not thread-safe.
///
/// A ticket can be begun within one ticket lifetime of its issue and is
/// remembered for two; after that its outcome is unknown.
class ticket_ledger {
public:
  ticket_ledger(instance_id Instance, incarnation Incarnation,
                time_point StartedAt, milliseconds TicketLifetime);

  /// Returns \p Count new tickets, or fewer if that would exceed the maximum
  /// number of remembered tickets; none if sealed.
  auto issue(std::size_t Count, time_point Now) -> std::vector<ticket>;

  /// Decides how to handle a request that presents \p Ticket. Refusals are
  /// returned as replay_answer: MalformedTicket, TicketMismatch,
  /// NotRunDraining, NotRunTicketRetired, OutcomeUnknown. After a not-run code
  /// the ticket never runs.
  auto begin(const ticket &Ticket, fingerprint Fingerprint, time_point Now)
      -> ledger_verdict;

  /// Records the answer of a ticket for which begin() returned run_now.
  auto finish(const ticket &Ticket, query_answer Answer, time_point Now)
      -> void;

  /// Refuses from now on every ticket not yet begun, and issues no more.
  auto seal() -> void;

  /// Returns whether the ledger is sealed and no request is running, so that it
  /// is final.
  auto isFinal() const -> bool;

  /// Returns a copy of this incarnation's records that may be sent to other
  /// instances. Running requests are included as OutcomeUnknown. If the ledger
  /// isn't sealed, the copy is empty and its FirstKept marks all tickets as
  /// forgotten.
  auto sealedCopy() const -> sealed_ledger;

  /// Adds the sealed ledger of another incarnation, replacing an earlier copy.
  /// It is kept for two ticket lifetimes.
  auto adopt(sealed_ledger Ledger, time_point Now) -> void;

  /// Drops the records of tickets and adopted ledgers whose retention time has
  /// passed.
  auto expire(time_point Now) -> void;

  /// Returns the number of recorded tickets, adopted ones included.
  auto size() const -> std::size_t;

private:
  using issuer_key = std::pair<instance_id, incarnation>;

  /// The state of one begun ticket of this incarnation.
  struct record {
    ticket Ticket;
    fingerprint Fingerprint = 0;
    bool Running = true;
    query_answer Answer; ///< valid once not running
  };

  /// Tickets with the same issue time.
  struct issue_batch {
    std::uint64_t First = 0; ///< lowest ticket number
    milliseconds IssuedAfterStart{0};
  };

  /// The sealed ledger of another incarnation, by ticket number.
  struct adopted_ledger {
    std::uint64_t FirstKept = 0;
    std::map<std::uint64_t, recorded_answer> Answers;
    time_point AdoptedAt;
  };

  auto sinceStart(time_point Now) const -> milliseconds;
  auto roundedIssueTime(time_point Now) const -> milliseconds;
  auto beginOwn(const ticket &Ticket, fingerprint Fingerprint, time_point Now)
      -> ledger_verdict;
  auto beginNew(const ticket &Ticket, fingerprint Fingerprint, time_point Now)
      -> ledger_verdict;
  auto wasIssued(const ticket &Ticket) const -> bool;
  auto dropOldestAdopted() -> void;

  instance_id Instance;
  incarnation Incarnation;
  time_point StartedAt;
  milliseconds TicketLifetime;
  bool Sealed = false;
  std::uint64_t LastNumber = 0;
  std::uint64_t FirstKept = 1;     ///< records of lower numbers are dropped
  std::deque<issue_batch> Batches; ///< ascending
  std::map<std::uint64_t, record> Records;
  std::size_t Running = 0;
  std::map<issuer_key, adopted_ledger> Adopted;
};

} // namespace tarragon::once
