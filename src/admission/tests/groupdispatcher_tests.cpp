#include "admission/groupdispatcher.h"

#include <boost/test/unit_test.hpp>

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
          .Root = "e2",
          .Contract = "search",
          .Service = "petals",
          .Group = "petals/0",
          .Version = 7,
          .ShardCount = 1,
          .Deadline = Start + 200ms};
}

template <class Kind>
auto pick(const dispatch_actions &Actions) -> std::vector<Kind> {
  std::vector<Kind> Picked;
  for (const dispatch_action &Action : Actions)
    if (const auto *Wanted = std::get_if<Kind>(&Action))
      Picked.push_back(*Wanted);
  return Picked;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_owner_fills_the_slots_and_queues_the_rest) {
  auto Dispatcher = makeDispatcher(dispatcher_role::Owner);
  std::vector<start_attempt> Started;
  for (std::uint64_t Query = 1; Query <= 7; ++Query)
    for (auto &Attempt :
         pick<start_attempt>(Dispatcher.submit(makeRequest(Query), Start)))
      Started.push_back(Attempt);
  BOOST_TEST(Started.size() == 6U);
  const auto Actions = Dispatcher.onAttemptDone(
      {.Attempt = Started[0].Attempt, .Outcome = attempt_outcome::Answered},
      Start + 10ms);
  BOOST_TEST(pick<start_attempt>(Actions).size() == 1U);
  BOOST_TEST(pick<settle_subrequest>(Actions).size() == 1U);
  const auto Late = pick<settle_subrequest>(Dispatcher.onTimer(Start + 200ms));
  BOOST_TEST(Late.size() == 6U);
  for (const auto &Settled : Late) {
    BOOST_TEST((Settled.Settlement.Outcome == attempt_outcome::Expired));
    BOOST_TEST(!Settled.Settlement.ProvenNotRun);
  }
}

BOOST_AUTO_TEST_CASE(a_proven_not_run_is_tried_elsewhere) {
  auto Dispatcher = makeDispatcher(dispatcher_role::Guest);
  auto Request = makeRequest(1);
  Request.Repeatable = false;
  auto Actions = Dispatcher.submit(Request, Start);
  std::set<target_id> Targets;
  for (int Try = 0; Try < 3; ++Try) {
    const auto Started = pick<start_attempt>(Actions);
    BOOST_REQUIRE(Started.size() == 1U);
    Targets.insert(Started[0].Target.Id);
    Actions = Dispatcher.onAttemptDone(
        {.Attempt = Started[0].Attempt, .Outcome = attempt_outcome::NotSent},
        Start + 1ms);
  }
  BOOST_TEST(Targets.size() == 3U);
  const auto Settled = pick<settle_subrequest>(Actions);
  BOOST_REQUIRE(Settled.size() == 1U);
  BOOST_TEST(Settled[0].Settlement.ProvenNotRun);
  BOOST_TEST(Settled[0].Settlement.Attempts == 3U);
  BOOST_TEST(Dispatcher.idle());
}

BOOST_AUTO_TEST_CASE(a_crash_is_settled_and_not_retried) {
  auto Dispatcher = makeDispatcher(dispatcher_role::Owner);
  const auto Started =
      pick<start_attempt>(Dispatcher.submit(makeRequest(1), Start));
  BOOST_REQUIRE(Started.size() == 1U);
  const auto Actions = Dispatcher.onAttemptDone(
      {.Attempt = Started[0].Attempt, .Outcome = attempt_outcome::Crashed},
      Start + 1ms);
  BOOST_REQUIRE(Actions.size() == 1U);
  const auto Settled = pick<settle_subrequest>(Actions);
  BOOST_REQUIRE(Settled.size() == 1U);
  BOOST_TEST((Settled[0].Settlement.CrashedTargets ==
              std::vector<target_id>{Started[0].Target.Id}));
}
