#include "placement/latencymodel.h"
#include "placement/retrybudget.h"
#include "placement/targethealth.h"
#include "placement/targetset.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::placement;

namespace {

const time_point Start{std::chrono::hours(1)};
constexpr microseconds MedianLatency{20000};

} // namespace

BOOST_AUTO_TEST_SUITE(latencymodel)

BOOST_AUTO_TEST_CASE(the_prior_applies_until_enough_samples_are_recorded) {
  latency_model Model(60ms);
  BOOST_TEST((Model.quantile(0.9) == 60ms));
  for (int Count = 0; Count < 100; ++Count)
    Model.record(10ms);
  BOOST_TEST((Model.quantile(0.9) >= 10ms));
  BOOST_TEST((Model.quantile(0.9) < 12ms));
}

BOOST_AUTO_TEST_CASE(quantiles_follow_recent_latencies) {
  latency_model Model(60ms);
  for (int Count = 0; Count < 5000; ++Count)
    Model.record(10ms);
  for (int Count = 0; Count < 20000; ++Count)
    Model.record(50ms);
  BOOST_TEST((Model.median() > 45ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retrybudget)

BOOST_AUTO_TEST_CASE(no_window_exceeds_its_allowance) {
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
    while (Random() % 2 == 0 && Budget.tryAcquire(extra_purpose::Retry, Now))
      Extra.push_back(Now);
    while (!Extra.empty() && Extra.front() <= Now - 10s)
      Extra.pop_front();
    while (!Requests.empty() && Requests.front() <= Now - 11s)
      Requests.pop_front();
    BOOST_REQUIRE(static_cast<double>(Extra.size()) <=
                  0.2 * static_cast<double>(Requests.size()) + 10);
  }
}

BOOST_AUTO_TEST_CASE(hedges_leave_a_reserve_for_retries) {
  retry_budget Budget({0, 100, milliseconds(10000), 1}, Start - 1min);
  while (Budget.tryAcquire(extra_purpose::Hedge, Start)) {
  }
  BOOST_TEST(Budget.tryAcquire(extra_purpose::Retry, Start));
}

BOOST_AUTO_TEST_CASE(hedges_are_denied_while_retries_use_the_whole_budget) {
  retry_budget Budget({0, 100, milliseconds(10000), 1}, Start - 1min);
  for (int Count = 0; Count < 200; ++Count)
    Budget.tryAcquire(extra_purpose::Retry, Start);
  BOOST_TEST(!Budget.tryAcquire(extra_purpose::Hedge, Start + 9s));
  BOOST_TEST(Budget.tryAcquire(extra_purpose::Hedge, Start + 11s));
}

BOOST_AUTO_TEST_CASE(a_recently_started_instance_has_little_slack) {
  retry_budget Budget({0, 100, milliseconds(10000), 1}, Start);
  int Acquired = 0;
  while (Budget.tryAcquire(extra_purpose::Retry, Start))
    ++Acquired;
  BOOST_TEST(Acquired <= 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(targethealth)

BOOST_AUTO_TEST_CASE(a_target_without_answers_is_silent) {
  target_health Health;
  Health.onSent(Start);
  BOOST_TEST(!Health.isSilent(MedianLatency, Start + 30ms));
  BOOST_TEST(Health.isSilent(MedianLatency, Start + 100ms));
  Health.onEnded(attempt_end::Answered, 100ms, MedianLatency, Start + 100ms);
  BOOST_TEST(!Health.isSilent(MedianLatency, Start + 101ms));
}

BOOST_AUTO_TEST_CASE(
    a_silent_target_is_blocked_after_its_attempt_is_abandoned) {
  target_health Health;
  Health.onSent(Start);
  Health.onEnded(attempt_end::Abandoned, 100ms, MedianLatency, Start + 100ms);
  BOOST_TEST(Health.isDown(MedianLatency, Start + 110ms));
  BOOST_TEST(!Health.isDown(MedianLatency, Start + 2s));
  Health.onSent(Start + 2s);
  // Only one attempt at a time.
  BOOST_TEST(Health.isDown(MedianLatency, Start + 2s));
  Health.onEnded(attempt_end::Answered, 20ms, MedianLatency, Start + 2020ms);
  BOOST_TEST(!Health.isDown(MedianLatency, Start + 2021ms));
}

BOOST_AUTO_TEST_CASE(slowness_is_measured_and_decays) {
  target_health Health;
  for (int Count = 0; Count < 10; ++Count) {
    Health.onSent(Start);
    Health.onEnded(attempt_end::Answered, 200ms, MedianLatency, Start);
  }
  BOOST_TEST(Health.cost(MedianLatency, Start) > 5.0 * MedianLatency.count());
  BOOST_TEST(Health.cost(MedianLatency, Start + 15s) <
             1.2 * MedianLatency.count());
}

// A target at its connection limit resets each new connection.
BOOST_AUTO_TEST_CASE(resets_of_new_connections_increase_the_backoff) {
  target_health Health;
  int Tries = 0;
  for (time_point Now = Start; Now < Start + 10s; Now += 5ms) {
    if (Health.isUnavailable(MedianLatency, Now))
      continue;
    ++Tries;
    Health.onSent(Now);
    Health.onEnded(attempt_end::Rejected, 2ms, MedianLatency, Now);
  }
  BOOST_TEST(Tries < 15);
}

// A target that turned a request away for two seconds gets none in that time,
// whatever its attempts in flight do, and then one at a time until it answers.
BOOST_AUTO_TEST_CASE(a_closed_target_gets_nothing_and_reopens_gradually) {
  target_health Health;
  Health.setMaxOutstanding(3);
  Health.onSent(Start);
  Health.onSent(Start);
  Health.onEnded(attempt_end::Shed, 2ms, MedianLatency, Start + 2ms);
  Health.close(Start + 2s);
  BOOST_TEST(Health.isDown(MedianLatency, Start + 3ms));
  Health.onEnded(attempt_end::Answered, 9ms, MedianLatency, Start + 9ms);
  Health.close(Start + 1s); // a shorter time doesn't end the longer one
  BOOST_TEST(Health.isUnavailable(MedianLatency, Start + 1999ms));
  BOOST_TEST((Health.report(MedianLatency, Start + 1s).Standing ==
              target_standing::Closed));
  time_point Now = Start + 2s;
  int Allowed = 0;
  for (int Round = 1; Round <= 3; ++Round) {
    for (Allowed = 0; !Health.isUnavailable(MedianLatency, Now); ++Allowed)
      Health.onSent(Now);
    BOOST_TEST(Allowed == Round);
    Now += 10ms;
    for (int Answer = 0; Answer < Allowed; ++Answer)
      Health.onEnded(Answer == 0 ? attempt_end::Answered : attempt_end::Shed,
                     10ms, MedianLatency, Now);
  }
}

BOOST_AUTO_TEST_CASE(attempts_in_flight_are_bounded) {
  target_health Health;
  Health.setMaxOutstanding(2);
  Health.onSent(Start);
  BOOST_TEST(!Health.isUnavailable(MedianLatency, Start));
  Health.onSent(Start);
  BOOST_TEST(Health.isUnavailable(MedianLatency, Start));
  BOOST_TEST(!Health.isDown(MedianLatency, Start));
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

BOOST_AUTO_TEST_CASE(the_own_domain_is_preferred_only_among_equal_targets) {
  target_set Targets("here");
  for (const std::string Domain : {"here", "there"}) {
    route::target_entry Entry;
    Entry.Id = Domain;
    Entry.Service = "s";
    Entry.FailureDomain = Domain;
    Entry.StartedAtMs = 1;
    Targets.apply(Targets.registry().put(Entry), Start);
  }
  BOOST_TEST(Targets.choose("s", {}, MedianLatency, Start)->Id == "here");
  Targets.health("here").onSent(Start);
  BOOST_TEST(Targets.choose("s", {}, MedianLatency, Start)->Id == "there");
}

BOOST_AUTO_TEST_SUITE_END()
