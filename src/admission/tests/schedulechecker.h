#pragma once

#include "admission/groupdispatcher.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tarragon::admission {

/// One step of a random schedule; what each part means depends on Kind.
struct schedule_step {
  std::uint8_t Kind = 0;
  std::uint8_t Choice = 0;
  std::uint8_t Detail = 0;
  std::uint8_t DelayMs = 0;
};

/// Drives a group_dispatcher by a schedule and notes every broken promise.
class schedule_checker {
public:
  schedule_checker();

  auto take(const schedule_step &Step) -> void;

  /// Ends all attempts, waits out all deadlines and checks that nothing is
  /// left.
  auto finish() -> void;

  /// What was broken first; empty when nothing was.
  auto fault() const -> const std::string & { return Fault; }

private:
  struct sent_attempt {
    target_id Target;
    std::size_t Request = 0;
    bool Suspect = false;
    bool Cancelled = false;
    time_point CancelledAt;
  };
  struct asked {
    subrequest Request;
    bool Settled = false;
    bool Crashed = false;
    bool Proven = true; ///< all attempts that ended were proven not run
    int Open = 0;
    int Sent = 0;
  };

  auto expect(bool Kept, const char *Promise) -> void;
  auto advance(milliseconds Delay) -> void;
  auto submit(const schedule_step &Step) -> void;
  auto endAttempt(const schedule_step &Step) -> void;
  auto disturb(const schedule_step &Step) -> void;
  auto check(const dispatch_actions &Actions) -> void;
  auto onStart(const start_attempt &Start) -> void;
  auto onCancel(const cancel_attempt &Cancel) -> void;
  auto onSettle(const settlement &Settlement) -> void;
  auto limit() const -> int;

  /// Whether the dispatcher no longer waits for the result.
  auto givenUp(const sent_attempt &Attempt) const -> bool;

  time_point Now{std::chrono::hours{1}};
  dispatcher_role Role = dispatcher_role::Owner;
  service Service;
  group_dispatcher Dispatcher;
  std::vector<asked> Asked;
  std::map<attempt_id, sent_attempt> InFlight;
  std::map<target_id, bool> Leaving;
  double Earned = 10;
  int Paid = 0;
  std::string Fault;
};

} // namespace tarragon::admission
