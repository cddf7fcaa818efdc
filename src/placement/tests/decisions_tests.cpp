#include "placement/latencymodel.h"
#include "placement/retrybudget.h"
#include "placement/targetset.h"
#include "placement/targetstate.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::placement;

namespace {

const time_point Start{std::chrono::hours(1)};
constexpr microseconds Typical{20000};

} // namespace

BOOST_AUTO_TEST_SUITE(latencymodel)

BOOST_AUTO_TEST_CASE(the_prior_holds_until_enough_was_seen) {
  latency_model Model(60ms);
  BOOST_TEST((Model.quantile(0.9) == 60ms));
  for (int Count = 0; Count < 100; ++Count)
    Model.record(10ms);
  BOOST_TEST((Model.quantile(0.9) >= 10ms));
  BOOST_TEST((Model.quantile(0.9) < 12ms));
}

BOOST_AUTO_TEST_CASE(quantiles_follow_the_load) {
  latency_model Model(60ms);
  for (int Count = 0; Count < 5000; ++Count)
    Model.record(10ms);
  for (int Count = 0; Count < 20000; ++Count)
    Model.record(50ms);
  BOOST_TEST((Model.typical() > 45ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retrybudget)

BOOST_AUTO_TEST_CASE(no_window_holds_more_than_its_allowance) {
  const retry_limits Limits{0.2, 50, milliseconds(10000), 5};
  retry_budget Budget(Limits, Start - 1min);
  std::mt19937_64 Random(3);
  std::deque<time_point> Requests;
  std::deque<time_point> Extra;
  for (time_point Now = Start; Now < Start + 60s; Now += 5ms) {
    const bool Busy = (Now - Start) / 7s % 2 == 0;
    if (Busy || Random() % 10 == 0) {
      Budget.addRequest(Now);
      Requests.push_back(Now);
    }
    while (Random() % 2 == 0 && Budget.take(extra_purpose::Retry, Now))
      Extra.push_back(Now);
    while (!Extra.empty() && Extra.front() <= Now - 10s)
      Extra.pop_front();
    while (!Requests.empty() && Requests.front() <= Now - 11s)
      Requests.pop_front();
    BOOST_REQUIRE(static_cast<double>(Extra.size()) <=
                  0.2 * static_cast<double>(Requests.size()) + 10);
  }
}

BOOST_AUTO_TEST_CASE(hedges_leave_room_for_retries) {
  retry_budget Budget({0, 100, milliseconds(10000), 1}, Start - 1min);
  while (Budget.take(extra_purpose::Hedge, Start)) {
  }
  BOOST_TEST(Budget.take(extra_purpose::Retry, Start));
}

BOOST_AUTO_TEST_CASE(hedges_get_nothing_while_retries_need_it_all) {
  retry_budget Budget({0, 100, milliseconds(10000), 1}, Start - 1min);
  for (int Count = 0; Count < 200; ++Count)
    Budget.take(extra_purpose::Retry, Start);
  BOOST_TEST(!Budget.take(extra_purpose::Hedge, Start + 9s));
  BOOST_TEST(Budget.take(extra_purpose::Hedge, Start + 11s));
}

BOOST_AUTO_TEST_CASE(a_young_instance_has_little_slack) {
  retry_budget Young({0, 100, milliseconds(10000), 1}, Start);
  int Taken = 0;
  while (Young.take(extra_purpose::Retry, Start))
    ++Taken;
  BOOST_TEST(Taken <= 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(targetstate)

BOOST_AUTO_TEST_CASE(a_target_that_answers_nothing_is_silent) {
  target_state State;
  State.onSent(Start);
  BOOST_TEST(!State.silent(Typical, Start + 30ms));
  BOOST_TEST(State.silent(Typical, Start + 100ms));
  State.onEnded(attempt_end::Answered, 100ms, Typical, Start + 100ms);
  BOOST_TEST(!State.silent(Typical, Start + 101ms));
}

BOOST_AUTO_TEST_CASE(a_silent_one_is_left_alone_after_its_attempt_is_dropped) {
  target_state State;
  State.onSent(Start);
  State.onEnded(attempt_end::Abandoned, 100ms, Typical, Start + 100ms);
  BOOST_TEST(State.down(Typical, Start + 110ms));
  BOOST_TEST(!State.down(Typical, Start + 2s));
  State.onSent(Start + 2s);
  BOOST_TEST(State.down(Typical, Start + 2s)); // one attempt at a time
  State.onEnded(attempt_end::Answered, 20ms, Typical, Start + 2020ms);
  BOOST_TEST(!State.down(Typical, Start + 2021ms));
}

BOOST_AUTO_TEST_CASE(slowness_is_learned_and_fades) {
  target_state State;
  for (int Count = 0; Count < 10; ++Count) {
    State.onSent(Start);
    State.onEnded(attempt_end::Answered, 200ms, Typical, Start);
  }
  BOOST_TEST(State.cost(Typical, Start) > 5.0 * Typical.count());
  BOOST_TEST(State.cost(Typical, Start + 15s) < 1.2 * Typical.count());
}

// Load: a target at its cap of connections resets each new one.
BOOST_AUTO_TEST_CASE(new_connections_that_are_reset_are_tried_ever_later) {
  target_state State;
  int Tries = 0;
  for (time_point Now = Start; Now < Start + 10s; Now += 5ms) {
    if (State.blocked(Typical, Now))
      continue;
    ++Tries;
    State.onSent(Now);
    State.onEnded(attempt_end::Rejected, 2ms, Typical, Now);
  }
  BOOST_TEST(Tries < 15);
}

BOOST_AUTO_TEST_CASE(room_is_bounded) {
  target_state State;
  State.setMostOutstanding(2);
  State.onSent(Start);
  BOOST_TEST(!State.blocked(Typical, Start));
  State.onSent(Start);
  BOOST_TEST(State.blocked(Typical, Start));
  BOOST_TEST(!State.down(Typical, Start));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(targetset)

BOOST_AUTO_TEST_CASE(connections_are_shared_by_all_instances) {
  target_set Targets("zone");
  Targets.setConnectionLimits({{"s", 40}}, 6);
  BOOST_TEST(Targets.connectionShare("s") * 6 <= 40);
  Targets.setConnectionLimits({{"s", 40}}, 90);
  BOOST_TEST(Targets.connectionShare("s") == 1);
}

BOOST_AUTO_TEST_CASE(the_same_domain_wins_only_among_equals) {
  target_set Targets("here");
  for (const std::string Domain : {"here", "there"}) {
    route::target_entry Entry;
    Entry.Id = Domain;
    Entry.Service = "s";
    Entry.FailureDomain = Domain;
    Entry.Born = 1;
    Targets.apply(Targets.book().put(Entry), Start);
  }
  BOOST_TEST(Targets.choose("s", {}, Typical, Start)->Id == "here");
  Targets.state("here").onSent(Start);
  BOOST_TEST(Targets.choose("s", {}, Typical, Start)->Id == "there");
}

BOOST_AUTO_TEST_SUITE_END()
