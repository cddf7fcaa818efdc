#pragma once

#include "once/types/ledgerverdict.h"
#include "once/types/sealedledger.h"
#include "once/types/ticket.h"

#include <vector>

namespace tarragon::once {

/// Issues tickets and remembers what became of each. Only the life of the
/// instance that issued a ticket may run it. Pure; not locked.
class ticket_ledger {
public:
  ticket_ledger(instance_id Instance, incarnation Incarnation,
                time_point Started, milliseconds TicketLifetime);

  auto issue(std::size_t Count, time_point Now) -> std::vector<ticket>;

  /// What to do with a request that shows \p Ticket.
  auto begin(const ticket &Ticket, fingerprint Fingerprint, time_point Now)
      -> ledger_verdict;

  /// Records the answer of a ticket for which begin() said run_now.
  auto finish(const ticket &Ticket, query_answer Answer, time_point Now)
      -> void;

  /// Refuses every ticket not yet begun from now on.
  auto seal() -> void;

  /// Whether sealed with nothing running: the ledger is final.
  auto settled() const -> bool;
  auto sealedCopy() const -> sealed_ledger;

  /// Takes the final ledger of another instance's life.
  auto adopt(sealed_ledger Ledger, time_point Now) -> void;

  /// Forgets tickets past their lifetime.
  auto expire(time_point Now) -> void;
  auto size() const -> std::size_t;
};

} // namespace tarragon::once
