#include "admission/groupdispatcher.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace tarragon;
using namespace tarragon::admission;
using namespace std::chrono_literals;

namespace {

const time_point Start{1h};

auto makeService() -> service {
  return {.Id = "petals",
          .Limits = {.Slots = 2, .Connections = 40},
          .Groups = {{.Id = "petals/0",
                      .Targets = {{"t1", "127.0.0.1:1", "a"},
                                  {"t2", "127.0.0.1:2", "b"},
                                  {"t3", "127.0.0.1:3", "c"}}}}};
}

auto makeDispatcher(const dispatcher_role Role) -> group_dispatcher {
  const service Service = makeService();
  return {Service,
          Service.Groups[0],
          {.Instance = "e1", .Incarnation = 7, .Domain = "a"},
          Role};
}

auto makeRequest(const std::uint64_t Query) -> subrequest {
  return {.Id = {.Query = Query},
          .Coordinator = "e2",
          .Contract = "search",
          .Service = "petals",
          .Group = "petals/0",
          .Version = 7,
          .ShardCount = 1,
          .Deadline = Start + 200ms};
}

template <class Kind>
auto actionsOf(const dispatch_actions &Actions) -> std::vector<Kind> {
  std::vector<Kind> Selected;
  for (const dispatch_action &Action : Actions)
    if (const auto *Wanted = std::get_if<Kind>(&Action))
      Selected.push_back(*Wanted);
  return Selected;
}

/// Answers every attempt, and the attempts started as a result, after 10 ms
/// each.
auto answerAll(group_dispatcher &Dispatcher, dispatch_actions Actions,
               time_point &Now) -> void {
  for (auto Started = actionsOf<start_attempt>(Actions); !Started.empty();
       Started = actionsOf<start_attempt>(Actions)) {
    Actions.clear();
    Now += 10ms;
    for (const start_attempt &Attempt : Started)
      for (dispatch_action &Action :
           Dispatcher.onAttemptDone({.Attempt = Attempt.Attempt,
           .Outcome = attempt_outcome::Answered},
                                    Now))
        Actions.push_back(std::move(Action));
  }
}

auto makeWarmDispatcher(time_point &Now) -> group_dispatcher {
  auto Dispatcher = makeDispatcher(dispatcher_role::Owner);
  for (std::uint64_t Query = 1000; Query < 1100; ++Query) {
    auto Request = makeRequest(Query);
    Request.Deadline = Now + 200ms;
    answerAll(Dispatcher, Dispatcher.submit(Request, Now), Now);
  }
  return Dispatcher;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_owner_fills_the_slots_and_queues_the_rest) {
  auto Dispatcher = makeDispatcher(dispatcher_role::Owner);
  std::vector<start_attempt> Started;
  for (std::uint64_t Query = 1; Query <= 7; ++Query)
    for (auto &Attempt :
         actionsOf<start_attempt>(Dispatcher.submit(makeRequest(Query), Start)))
      Started.push_back(Attempt);
  BOOST_TEST(Started.size() == 6U);
  const auto Actions = Dispatcher.onAttemptDone(
      {.Attempt = Started[0].Attempt, .Outcome = attempt_outcome::Answered},
      Start + 10ms);
  BOOST_TEST(actionsOf<start_attempt>(Actions).size() == 1U);
  BOOST_TEST(actionsOf<settle_subrequest>(Actions).size() == 1U);
  const auto Late =
      actionsOf<settle_subrequest>(Dispatcher.onTimer(Start + 200ms));
  BOOST_TEST(Late.size() == 6U);
  for (const auto &Settled : Late) {
    BOOST_TEST((Settled.Settlement.Outcome == attempt_outcome::Expired));
    BOOST_TEST(!Settled.Settlement.ProvenNotRun);
  }
}

BOOST_AUTO_TEST_CASE(an_attempt_proven_not_run_is_retried_at_another_target) {
  auto Dispatcher = makeDispatcher(dispatcher_role::NonOwner);
  auto Request = makeRequest(1);
  Request.Repeatable = false;
  auto Actions = Dispatcher.submit(Request, Start);
  std::set<target_id> Targets;
  for (int Try = 0; Try < 3; ++Try) {
    const auto Started = actionsOf<start_attempt>(Actions);
    BOOST_REQUIRE(Started.size() == 1U);
    Targets.insert(Started[0].Target.Id);
    Actions = Dispatcher.onAttemptDone(
        {.Attempt = Started[0].Attempt, .Outcome = attempt_outcome::NotSent},
        Start + 1ms);
  }
  BOOST_TEST(Targets.size() == 3U);
  const auto Settled = actionsOf<settle_subrequest>(Actions);
  BOOST_REQUIRE(Settled.size() == 1U);
  BOOST_TEST(Settled[0].Settlement.ProvenNotRun);
  BOOST_TEST(Settled[0].Settlement.Attempts == 3U);
  BOOST_TEST(Dispatcher.idle());
}

BOOST_AUTO_TEST_CASE(a_crash_is_settled_and_not_retried) {
  auto Dispatcher = makeDispatcher(dispatcher_role::Owner);
  const auto Started =
      actionsOf<start_attempt>(Dispatcher.submit(makeRequest(1), Start));
  BOOST_REQUIRE(Started.size() == 1U);
  const auto Actions = Dispatcher.onAttemptDone(
      {.Attempt = Started[0].Attempt, .Outcome = attempt_outcome::Crashed},
      Start + 1ms);
  BOOST_REQUIRE(Actions.size() == 1U);
  const auto Settled = actionsOf<settle_subrequest>(Actions);
  BOOST_REQUIRE(Settled.size() == 1U);
  BOOST_TEST((Settled[0].Settlement.CrashedTargets ==
              std::vector<target_id>{Started[0].Target.Id}));
}

BOOST_AUTO_TEST_CASE(a_burst_of_one_contract_does_not_starve_another) {
  auto Dispatcher = makeDispatcher(dispatcher_role::Owner);
  std::vector<start_attempt> Started;
  for (std::uint64_t Query = 1; Query <= 100; ++Query)
    for (auto &Attempt :
         actionsOf<start_attempt>(Dispatcher.submit(makeRequest(Query), Start)))
      Started.push_back(Attempt);
  auto Other = makeRequest(200);
  Other.Contract = "lookup";
  Other.Deadline = Start + 10s;
  Dispatcher.submit(Other, Start);
  std::vector<contract_id> Next;
  for (const auto &Attempt : Started)
    for (const auto &Following :
         actionsOf<start_attempt>(Dispatcher.onAttemptDone(
             {.Attempt = Attempt.Attempt, .Outcome = attempt_outcome::Answered},
             Start + 10ms)))
      Next.push_back(Following.Request.Contract);
  BOOST_TEST(std::count(Next.begin(), Next.end(), "lookup") == 1);
}

BOOST_AUTO_TEST_CASE(
    a_request_that_cannot_meet_its_deadline_is_refused_at_once) {
  time_point Now = Start;
  auto Dispatcher = makeWarmDispatcher(Now);
  std::size_t Refused = 0;
  for (std::uint64_t Query = 1; Query <= 200; ++Query) {
    auto Request = makeRequest(Query);
    Request.Deadline = Now + 100ms;
    for (const auto &Settled :
         actionsOf<settle_subrequest>(Dispatcher.submit(Request, Now))) {
      BOOST_TEST((Settled.Settlement.Outcome == attempt_outcome::NotRun));
      BOOST_TEST(Settled.Settlement.ProvenNotRun);
      ++Refused;
    }
  }
  // Six slots serve about 60 requests in 100 ms.
  BOOST_TEST(Refused >= 130U);
  BOOST_TEST(Refused <= 150U);
}

BOOST_AUTO_TEST_CASE(a_late_attempt_is_hedged_in_another_domain) {
  time_point Now = Start;
  auto Dispatcher = makeWarmDispatcher(Now);
  auto Request = makeRequest(1);
  Request.Deadline = Now + 200ms;
  const auto First = actionsOf<start_attempt>(Dispatcher.submit(Request, Now));
  BOOST_REQUIRE(First.size() == 1U);
  Now += 15ms;
  const auto Hedge = actionsOf<start_attempt>(Dispatcher.onTimer(Now));
  BOOST_REQUIRE(Hedge.size() == 1U);
  BOOST_TEST(Hedge[0].Target.Domain != First[0].Target.Domain);
  const auto Actions = Dispatcher.onAttemptDone(
      {.Attempt = Hedge[0].Attempt, .Outcome = attempt_outcome::Answered},
      Now + 5ms);
  const auto Settled = actionsOf<settle_subrequest>(Actions);
  BOOST_REQUIRE(Settled.size() == 1U);
  BOOST_TEST(Settled[0].Settlement.Target == Hedge[0].Target.Id);
  const auto Cancelled = actionsOf<cancel_attempt>(Actions);
  BOOST_REQUIRE(Cancelled.size() == 1U);
  BOOST_TEST(Cancelled[0].Attempt == First[0].Attempt);
  Dispatcher.onAttemptDone(
      {.Attempt = First[0].Attempt, .Outcome = attempt_outcome::Crashed},
      Now + 6ms);
  BOOST_TEST(Dispatcher.takeCrashReports().size() == 1U);
  BOOST_TEST(Dispatcher.idle());
}

BOOST_AUTO_TEST_CASE(an_unreachable_target_is_ejected_and_probed_later) {
  time_point Now = Start;
  auto Dispatcher = makeWarmDispatcher(Now);
  std::vector<time_point> Tries;
  for (std::uint64_t Query = 1; Query <= 1000; ++Query) {
    Now += 5ms;
    auto Request = makeRequest(Query);
    Request.Deadline = Now + 200ms;
    auto Actions = Dispatcher.submit(Request, Now);
    for (const auto &Attempt : actionsOf<start_attempt>(Actions)) {
      const bool Unreachable = Attempt.Target.Id == "t1";
      if (Unreachable)
        Tries.push_back(Now);
      const auto Outcome =
          Unreachable ? attempt_outcome::NotSent : attempt_outcome::Answered;
      auto Following = Dispatcher.onAttemptDone(
          {.Attempt = Attempt.Attempt, .Outcome = Outcome}, Now);
      answerAll(Dispatcher, Following, Now);
    }
  }
  BOOST_TEST(Tries.size() >= 4U);
  BOOST_TEST(Tries.size() <= 10U);
}

BOOST_AUTO_TEST_CASE(requests_are_sent_to_targets_that_hold_their_version) {
  time_point Now = Start;
  auto Dispatcher = makeDispatcher(dispatcher_role::Owner);
  int Refusals = 0;
  for (std::uint64_t Query = 1; Query <= 60; ++Query) {
    auto Actions = Dispatcher.submit(makeRequest(Query), Now);
    while (actionsOf<settle_subrequest>(Actions).empty()) {
      const auto Started = actionsOf<start_attempt>(Actions);
      BOOST_REQUIRE(Started.size() == 1U);
      const bool Holds = Started[0].Target.Id == "t3";
      Refusals += Holds ? 0 : 1;
      Actions = Dispatcher.onAttemptDone(
          {.Attempt = Started[0].Attempt,
           .Outcome = Holds ? attempt_outcome::Answered
                            : attempt_outcome::WrongVersion,
           .Held = {{Holds ? 7U : 8U, 1}}},
          Now);
    }
    BOOST_TEST(
        actionsOf<settle_subrequest>(Actions)[0].Settlement.ProvenNotRun ==
        false);
  }
  BOOST_TEST(Refusals <= 2);
}

BOOST_AUTO_TEST_CASE(a_stale_list_does_not_restore_a_draining_target) {
  auto Dispatcher = makeDispatcher(dispatcher_role::Owner);
  const auto First =
      actionsOf<start_attempt>(Dispatcher.submit(makeRequest(1), Start));
  BOOST_REQUIRE(First.size() == 1U);
  const target_id Draining = First[0].Target.Id;
  Dispatcher.onAttemptDone(
      {.Attempt = First[0].Attempt, .Outcome = attempt_outcome::Leaving},
      Start);
  const auto TriesAfter = [&](const milliseconds Wait) {
    std::ptrdiff_t Tries = 0;
    time_point Now = Start + Wait;
    Dispatcher.onTargetAnnouncement(Draining, target_announcement::Returned,
                                    Now);
    for (std::uint64_t Query = 0; Query < 20; ++Query) {
      auto Request = makeRequest(Wait.count() * 100 + Query);
      Request.Deadline = Now + 200ms;
      auto Actions = Dispatcher.submit(Request, Now);
      for (const auto &Attempt : actionsOf<start_attempt>(Actions))
        Tries += Attempt.Target.Id == Draining ? 1 : 0;
      answerAll(Dispatcher, std::move(Actions), Now);
    }
    return Tries;
  };
  BOOST_TEST(TriesAfter(1s) == 0);
  BOOST_TEST(TriesAfter(6s) > 0);
}
