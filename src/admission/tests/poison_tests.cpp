#include "admission/groupdispatcher.h"
#include "admission/poisontracker.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <set>

using namespace tarragon;
using namespace tarragon::admission;
using namespace std::chrono_literals;

namespace {

constexpr fingerprint Poison = 666;
constexpr milliseconds ServiceTime = 5ms;
constexpr milliseconds RestartTime = 1000ms;
constexpr milliseconds GossipDelay = 100ms;

/// A simulation of two instances, the group owner's dispatcher, and targets
/// that the poison request crashes and that then restart. A step is one
/// millisecond.
class poisoned_group {
public:
  auto submit(const std::size_t Instance, const fingerprint Fingerprint)
      -> void {
    const poison_verdict Verdict = Trackers[Instance].verdict(Fingerprint, Now);
    if (Verdict == poison_verdict::Held)
      return;
    const std::uint64_t Number = ++Submitted;
    Fingerprints[Number] = Fingerprint;
    apply(Dispatcher.submit({.Id = {.Query = Number},
                             .Coordinator = "e" + std::to_string(Instance),
                             .Contract = "search",
                             .Fingerprint = Fingerprint,
                             .Deadline = Now + 100ms,
                             .Suspect = Verdict == poison_verdict::Suspect},
                            Now));
  }

  auto step() -> void {
    Now += 1ms;
    std::vector<attempt_id> Due;
    for (const auto &[Id, Attempt] : Running)
      if (Now >= Attempt.second)
        Due.push_back(Id);
    for (const attempt_id &Id : Due)
      if (Running.contains(Id))
        end(Id);
    apply(Dispatcher.onTimer(Now));
    for (const crash_report &Report : Dispatcher.takeCrashReports())
      PendingReports.emplace_back(Now, Report);
    std::erase_if(PendingReports, [&](const auto &Pending) {
      Trackers[0].recordCrash(Pending.second, Now);
      if (Now < Pending.first + GossipDelay)
        return false;
      Trackers[1].recordCrash(Pending.second, Now);
      return true;
    });
  }

  std::array<poison_tracker, 2> Trackers{poison_tracker{10min},
                                         poison_tracker{10min}};
  time_point Now{1h};
  std::size_t MaxDown = 0;
  int Crashes = 0;
  std::uint64_t Submitted = 0;
  std::map<fingerprint, int> Answered;

private:
  auto end(const attempt_id &Id) -> void {
    const start_attempt Attempt = Running.at(Id).first;
    if (Attempt.Request.Fingerprint != Poison) {
      finish(Id, attempt_outcome::Answered);
      return;
    }
    ++Crashes;
    DownUntil[Attempt.Target.Id] = Now + RestartTime;
    MaxDown = std::max<std::size_t>(
        MaxDown,
        std::count_if(DownUntil.begin(), DownUntil.end(),
                      [&](const auto &Down) { return Now < Down.second; }));
    std::vector<attempt_id> Interrupted;
    for (const auto &[Other, Beside] : Running)
      if (Beside.first.Target.Id == Attempt.Target.Id)
        Interrupted.push_back(Other);
    for (const attempt_id &Other : Interrupted)
      finish(Other, attempt_outcome::Crashed);
  }

  auto finish(const attempt_id &Id, const attempt_outcome Outcome) -> void {
    Running.erase(Id);
    apply(Dispatcher.onAttemptDone({.Attempt = Id, .Outcome = Outcome}, Now));
  }

  auto apply(const dispatch_actions &Actions) -> void {
    for (const dispatch_action &Action : Actions) {
      if (const auto *Start = std::get_if<start_attempt>(&Action)) {
        if (Now < DownUntil[Start->Target.Id])
          finish(Start->Attempt, attempt_outcome::NotSent);
        else
          Running[Start->Attempt] = {*Start, Now + ServiceTime};
      } else if (const auto *Settle = std::get_if<settle_subrequest>(&Action)) {
        const fingerprint Fingerprint =
            Fingerprints.at(Settle->Settlement.Id.Query);
        if (Settle->Settlement.Outcome != attempt_outcome::Answered)
          continue;
        ++Answered[Fingerprint];
        Trackers[Settle->Coordinator == "e0" ? 0 : 1].recordSuccess(
            Fingerprint);
      }
    }
  }

  const service ServiceSpec{
      .Id = "petals",
      .Limits = {.Slots = 5, .Connections = 40},
      .Groups = {{.Id = "petals/0",
                  .Targets = {{"t1", "127.0.0.1:1", "a"},
                              {"t2", "127.0.0.1:2", "b"},
                              {"t3", "127.0.0.1:3", "c"}}}}};
  group_dispatcher Dispatcher{ServiceSpec,
                              ServiceSpec.Groups[0],
                              {.Instance = "e0"},
                              dispatcher_role::Owner};
  std::map<attempt_id, std::pair<start_attempt, time_point>> Running;
  std::map<target_id, time_point> DownUntil;
  std::map<std::uint64_t, fingerprint> Fingerprints;
  std::vector<std::pair<time_point, crash_report>> PendingReports;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_repeated_poison_request_is_held_and_others_are_not) {
  poisoned_group Group;
  for (int Millisecond = 0; Millisecond < 10000; ++Millisecond) {
    if (Millisecond % 10 == 0)
      Group.submit(Millisecond / 10 % 2, Poison);
    if (Millisecond % 2 == 0)
      Group.submit(Millisecond / 2 % 2, 1 + Millisecond % 7);
    Group.step();
  }
  BOOST_TEST_MESSAGE("crashes " << Group.Crashes << ", maximum down "
                                << Group.MaxDown);
  BOOST_TEST(Group.MaxDown <= 2U);
  BOOST_TEST(Group.Crashes <= 3);
  int Others = 0;
  for (auto &Tracker : Group.Trackers) {
    BOOST_TEST((Tracker.verdict(Poison, Group.Now) == poison_verdict::Held));
    for (fingerprint Innocent = 1; Innocent <= 7; ++Innocent)
      BOOST_TEST(
          (Tracker.verdict(Innocent, Group.Now) != poison_verdict::Held));
  }
  for (fingerprint Innocent = 1; Innocent <= 7; ++Innocent)
    Others += Group.Answered[Innocent];
  BOOST_TEST_MESSAGE("others answered " << Others << " of 5000");
  BOOST_TEST(Others >= 4900);
}

BOOST_AUTO_TEST_CASE(isolated_crashes_hold_no_innocent_request) {
  poisoned_group Group;
  for (int Millisecond = 0; Millisecond < 20000; ++Millisecond) {
    const bool Crash = Millisecond % 4000 == 0;
    // A crash without a repetition looks the same as a poison request that is
    // sent once.
    if (Crash)
      Group.submit(0, Poison);
    if (Millisecond % 2 == 0)
      Group.submit(Millisecond / 2 % 2, 1 + Millisecond % 7);
    Group.step();
    for (fingerprint Innocent = 1; Innocent <= 7; ++Innocent)
      for (auto &Tracker : Group.Trackers)
        BOOST_REQUIRE(
            (Tracker.verdict(Innocent, Group.Now) != poison_verdict::Held));
  }
  BOOST_TEST(Group.Crashes >= 2);
}
