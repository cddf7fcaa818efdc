#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <cstdint>
#include <vector>

namespace tarragon::account {

/// The requests of one account that an instance admitted.
struct usage_row {
  std::uint64_t Account = 0; ///< hash of its name
  std::uint64_t Count = 0;   ///< in this incarnation of the sender
  double Level = 0;          ///< tokens left, as the sender sees it

  auto operator==(const usage_row &) const -> bool = default;
};

/// A peer whose reports don't reach the sender directly.
struct missing_peer {
  address Peer;
  address Relayer; ///< asked to pass them on; may be empty

  auto operator==(const missing_peer &) const -> bool = default;
};

/// The admissions of an instance, for those that share the quotas. Counts
/// are cumulative, so that the next report replaces a lost one.
struct usage_report {
  std::uint64_t Sequence = 0; ///< increases with each report of an incarnation
  bool IsServing = false;     ///< holds a share of the rates
  bool NeedsLevels = false;   ///< asks the receivers for a complete report
  bool IsComplete = false;    ///< accounts without a row were not used
  double Fraction = 1; ///< of the rates, at which the sender refills; 0: it
                       ///< adopted that of others
  milliseconds RestoreIn{0};   ///< until levels are restored; 0: they are
  std::vector<usage_row> Rows; ///< accounts that changed
  milliseconds QuietFor{0};    ///< for which nothing was admitted, except from
                               ///< floors; only if it needs levels
  std::vector<missing_peer> Missing;
  std::vector<address> Expected; ///< are to report, even without admissions
  address Origin;                ///< of a relayed report: who made it
  std::uint64_t OriginIncarnation = 0;
  double AdoptedFraction = 1; ///< at which the sender refills if Fraction is 0
  milliseconds AdoptedFor{0}; ///< for which it still does

  auto operator==(const usage_report &) const -> bool = default;
};

} // namespace tarragon::account
