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
constexpr milliseconds Service = 5ms;
constexpr milliseconds Restart = 1000ms;
constexpr milliseconds Gossip = 100ms;

/// Two entries, the owner of one group, and targets that die of the poison
/// and come back; one step a millisecond.
class poisoned_group {
public:
  auto submit(const std::size_t Entry, const fingerprint Fingerprint) -> void {
    const poison_verdict Verdict = Trackers[Entry].verdict(Fingerprint, Now);
    if (Verdict == poison_verdict::Held)
      return;
    const std::uint64_t Number = ++Submitted;
    Asked[Number] = Fingerprint;
    apply(Dispatcher.submit({.Id = {.Query = Number},
                             .Root = "e" + std::to_string(Entry),
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
    for (const crash_report &Report : Dispatcher.takeCrashes())
      Told.emplace_back(Now, Report);
    std::erase_if(Told, [&](const auto &One) {
      Trackers[0].recordCrash(One.second, Now);
      if (Now < One.first + Gossip)
        return false;
      Trackers[1].recordCrash(One.second, Now);
      return true;
    });
  }

  std::array<poison_tracker, 2> Trackers{poison_tracker{10min},
                                         poison_tracker{10min}};
  time_point Now{1h};
  std::size_t MostDown = 0;
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
    DownUntil[Attempt.Target.Id] = Now + Restart;
    MostDown = std::max<std::size_t>(
        MostDown,
        std::count_if(DownUntil.begin(), DownUntil.end(),
                      [&](const auto &Down) { return Now < Down.second; }));
    std::vector<attempt_id> Killed;
    for (const auto &[Other, Beside] : Running)
      if (Beside.first.Target.Id == Attempt.Target.Id)
        Killed.push_back(Other);
    for (const attempt_id &Other : Killed)
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
          Running[Start->Attempt] = {*Start, Now + Service};
      } else if (const auto *Settle = std::get_if<settle_subrequest>(&Action)) {
        const fingerprint Fingerprint = Asked.at(Settle->Settlement.Id.Query);
        if (Settle->Settlement.Outcome != attempt_outcome::Answered)
          continue;
        ++Answered[Fingerprint];
        Trackers[Settle->Root == "e0" ? 0 : 1].recordSuccess(Fingerprint);
      }
    }
  }

  const service Described{
      .Id = "petals",
      .Limits = {.Slots = 5, .Connections = 40},
      .Groups = {{.Id = "petals/0",
                  .Targets = {{"t1", "127.0.0.1:1", "a"},
                              {"t2", "127.0.0.1:2", "b"},
                              {"t3", "127.0.0.1:3", "c"}}}}};
  group_dispatcher Dispatcher{Described,
                              Described.Groups[0],
                              {.Instance = "e0"},
                              dispatcher_role::Owner};
  std::map<attempt_id, std::pair<start_attempt, time_point>> Running;
  std::map<target_id, time_point> DownUntil;
  std::map<std::uint64_t, fingerprint> Asked;
  std::vector<std::pair<time_point, crash_report>> Told;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_poison_resent_all_the_time_is_held_and_others_are_not) {
  poisoned_group Group;
  for (int Millisecond = 0; Millisecond < 10000; ++Millisecond) {
    if (Millisecond % 10 == 0)
      Group.submit(Millisecond / 10 % 2, Poison);
    if (Millisecond % 2 == 0)
      Group.submit(Millisecond / 2 % 2, 1 + Millisecond % 7);
    Group.step();
  }
  BOOST_TEST_MESSAGE("crashes " << Group.Crashes << ", most down "
                                << Group.MostDown);
  BOOST_TEST(Group.MostDown <= 2U);
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

BOOST_AUTO_TEST_CASE(ordinary_crashes_condemn_nobody) {
  poisoned_group Group;
  for (int Millisecond = 0; Millisecond < 20000; ++Millisecond) {
    const bool Crash = Millisecond % 4000 == 0;
    // A crash that no later run repeats looks like a poison sent once.
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
