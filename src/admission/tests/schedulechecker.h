#pragma once

#include "admission/groupdispatcher.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tarragon::admission {

/// One step of a random schedule. The meaning of Choice and Detail depends on
/// Kind.
struct schedule_step {
  std::uint8_t Kind = 0;
  std::uint8_t Choice = 0;
  std::uint8_t Detail = 0;
  std::uint8_t DelayMs = 0;
};

/// Runs a schedule against a group_dispatcher and records the first violated
/// invariant.
class schedule_checker {
public:
  schedule_checker();

  auto runStep(const schedule_step &Step) -> void;

  /// Ends all attempts, advances past all deadlines, and checks that the
  /// dispatcher is idle and every subrequest is settled.
  auto finish() -> void;

  /// Returns the first violated invariant; empty if there is none.
  auto fault() const -> const std::string & { return Fault; }

private:
  struct sent_attempt {
    target_id Target;
    std::size_t Request = 0;
    bool Suspect = false;
    bool Cancelled = false;
    time_point CancelledAt;
  };
  struct submitted_request {
    subrequest Request;
    bool Settled = false;
    bool Crashed = false;
    bool ProvenNotRun = true; ///< all ended attempts are proven not run
    int OpenAttempts = 0;
    int SentAttempts = 0;
  };

  auto expect(bool Holds, const char *Invariant) -> void;
  auto advance(milliseconds Delay) -> void;
  auto submit(const schedule_step &Step) -> void;
  auto endAttempt(const schedule_step &Step) -> void;
  auto injectEvent(const schedule_step &Step) -> void;
  auto check(const dispatch_actions &Actions) -> void;
  auto onStart(const start_attempt &Start) -> void;
  auto onCancel(const cancel_attempt &Cancel) -> void;
  auto onSettle(const settlement &Settlement) -> void;
  auto limit() const -> int;

  /// Returns whether the dispatcher no longer waits for the result.
  auto isAbandoned(const sent_attempt &Attempt) const -> bool;

  time_point Now{std::chrono::hours{1}};
  dispatcher_role Role = dispatcher_role::Owner;
  service Service;
  group_dispatcher Dispatcher;
  std::vector<submitted_request> Submitted;
  std::map<attempt_id, sent_attempt> InFlight;
  std::map<target_id, bool> Leaving;
  double EarnedTokens = 10;
  int SpentTokens = 0;
  std::string Fault;
};

} // namespace tarragon::admission
