#pragma once

#include "global/types/time.h"
#include "placement/types/admissiondecision.h"
#include "placement/types/admissionticket.h"
#include "placement/types/partend.h"
#include "placement/types/plansettings.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace tarragon::placement {

/// Decides before any part of a scattered query is sent whether enough of its
/// parts are likely to be answered in time.
///
/// Load pattern: more queries arrive than some shards can serve, because of the
/// load or because their targets are slow. Without a bound, the parts queue
/// until nearly all answers are late. A new query is refused if the parts that
/// are ahead of its own at too many shards take longer than its time.
///
/// Active only while queries miss their objective. A query is admitted in any
/// case if no other one of this instance is open, so that recovery is detected.
/// Does no I/O; not thread-safe.
class query_admission {
public:
  /// Decides on a query with parts for \p Services, without those of services
  /// that are down, of which \p MaxMissing may remain unanswered.
  auto decide(const plan_settings &Settings,
              const std::vector<std::string> &Services, std::size_t MaxMissing,
              time_point Now) -> admission_decision;

  /// Records that a part for \p Service was sent or waits for a target.
  /// \p Slots is this instance's share of the slots of its targets.
  auto open(const std::string &Service, double Slots, time_point Now)
      -> admission_ticket;

  /// Records that a part ended.
  auto close(const std::string &Service, const admission_ticket &Ticket,
             part_end End, time_point Now) -> void;

  /// Returns the time to an answer of \p Service for one round of its slots; 0
  /// if it isn't measured.
  auto expectedTime(const std::string &Service, time_point Now) const
      -> microseconds;

  /// Records that an admitted query starts.
  auto beginQuery() -> void { ++OpenQueries; }

  /// Records the end of an admitted query; \p Missed: it has no answer, or a
  /// late one.
  auto endQuery(bool Missed, time_point Now) -> void;

  /// Returns whether queries are refused if they are not likely to succeed.
  auto isActive(time_point Now) const -> bool;

  /// Returns the smoothed share of queries that were refused or missed their
  /// objective.
  auto missedShare(time_point Now) const -> double;

  auto openQueries() const -> int { return OpenQueries; }

private:
  /// The parts of one service.
  struct service_state {
    int Open = 0;
    double Slots = 1;
    bool IsMeasured = false;
    double RoundUs = 0;     ///< time to the answer for each round of the slots
    double DeviationUs = 0; ///< its mean deviation
    double AloneUs = 0;     ///< time to the answer in the first round
    time_point MeasuredAt;
    /// The expected ends of parts that were given up, whose attempts still
    /// occupy slots.
    std::vector<time_point> GivenUpUntil;
  };
  /// The probabilities that a part is answered in time, as things are and with
  /// no work ahead.
  struct outlook {
    double Share = 1;
    double ShareAlone = 1;
    int Ahead = 0; ///< parts that occupy slots
    const std::string *Service = nullptr;
    const service_state *State = nullptr;
  };
  struct time_limits {
    double LeftUs = 0;
    double DeadlineUs = 0;
    double SlotDraw = 0; ///< rounds a share of slots up or down
  };

  /// Returns whether a part that waits for another one is late.
  static auto isExclusive(const service_state &State, const time_limits &Limits)
      -> bool;
  static auto answeredShare(const service_state &State, int Ahead,
                            const time_limits &Limits, time_point Now)
      -> double;
  /// Returns the parts that occupy slots: open ones, and those given up whose
  /// work is expected to go on.
  static auto occupiedBy(const service_state &State, time_point Now) -> int;
  auto timeFor(const plan_settings &Settings, time_point Now) const
      -> microseconds;
  auto retryDelay(double WaitUs, double PartUs, time_point Now) -> milliseconds;
  auto recordQuery(bool Missed, time_point Now) -> void;

  std::unordered_map<std::string, service_state> States;
  int OpenQueries = 0;
  double SlotDraw = 0;
  double MissedShare = 0;
  time_point MissedAt;
  time_point PromisedUntil; ///< the last time that a refused caller was told
  int RefusedPriority = 0;  ///< of the most important query refused recently
  time_point RefusedAt;
};

} // namespace tarragon::placement
