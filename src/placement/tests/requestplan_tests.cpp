#include "placement/latencymodel.h"
#include "placement/requestplan.h"
#include "placement/retrybudgettable.h"
#include "placement/targetset.h"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::placement;

namespace {

const time_point Start{std::chrono::hours(1)};

/// Two shards of two targets each, and what a plan did to them.
struct bench {
  bench() {
    Budgets.setLimits({0.2, 100, milliseconds(10000), 1});
    for (const std::string Service : {"s0", "s1"})
      for (const std::string Replica : {"a", "b"})
        add(Service + Replica, Service);
  }

  auto add(const std::string &Id, const std::string &Service) -> void {
    route::target_entry Entry;
    Entry.Id = Id;
    Entry.Service = Service;
    Entry.Born = 1;
    Targets.apply(Targets.book().put(Entry), Start);
  }

  auto plan(std::vector<std::string> Services,
            const route::repeatability Repeat, const int Attempts = 2)
      -> request_plan {
    plan_settings Settings;
    Settings.LeastParts = Services.size();
    Settings.Services = std::move(Services);
    Settings.Repeat = Repeat;
    Settings.Attempts = Attempts;
    Settings.EarlyAt = Start + 180ms;
    Settings.Deadline = Start + 1900ms;
    return {{Targets, Budgets, Latencies}, Settings};
  }

  target_set Targets{"zone"};
  retry_budget_table Budgets{Start - std::chrono::minutes(1)};
  latency_model Latencies{60ms};
};

template <class Action> auto countOf(const plan_actions &Actions) -> int {
  int Count = 0;
  for (const plan_action &Each : Actions)
    Count += std::holds_alternative<Action>(Each) ? 1 : 0;
  return Count;
}

auto verdictOf(const plan_actions &Actions) -> std::optional<plan_verdict> {
  for (const plan_action &Action : Actions)
    if (const auto *Finish = std::get_if<finish_plan>(&Action))
      return Finish->Verdict;
  return std::nullopt;
}

constexpr auto Idempotent = route::repeatability::Idempotent;
constexpr auto Once = route::repeatability::NonIdempotent;

} // namespace

BOOST_AUTO_TEST_SUITE(requestplan)

BOOST_AUTO_TEST_CASE(every_part_is_asked_once_and_the_answer_is_whole) {
  bench Bench;
  auto Plan = Bench.plan({"s0", "s1"}, Idempotent);
  BOOST_TEST(countOf<send_attempt>(Plan.start(Start)) == 2);
  BOOST_TEST(
      !verdictOf(Plan.onEnded({0, 0}, attempt_end::Answered, Start + 20ms)));
  const auto Last = Plan.onEnded({1, 0}, attempt_end::Answered, Start + 25ms);
  BOOST_TEST((verdictOf(Last) == plan_verdict::Answer));
}

BOOST_AUTO_TEST_CASE(a_late_part_is_asked_for_elsewhere_and_its_twin_dropped) {
  bench Bench;
  auto Plan = Bench.plan({"s0"}, Idempotent);
  Plan.start(Start);
  const time_point Wake = Plan.nextWake();
  BOOST_TEST((Wake > Start && Wake < Start + 180ms));
  BOOST_TEST(countOf<send_attempt>(Plan.onTimer(Wake)) == 1);
  const auto Last = Plan.onEnded({0, 1}, attempt_end::Answered, Wake + 20ms);
  BOOST_TEST(countOf<cancel_attempt>(Last) == 1);
  BOOST_TEST((verdictOf(Last) == plan_verdict::Answer));
}

BOOST_AUTO_TEST_CASE(a_request_that_may_run_once_is_never_hedged) {
  bench Bench;
  auto Plan = Bench.plan({"s0"}, Once);
  Plan.start(Start);
  BOOST_TEST((Plan.nextWake() >= Start + 180ms));
  BOOST_TEST(countOf<send_attempt>(Plan.onTimer(Start + 1000ms)) == 0);
}

BOOST_AUTO_TEST_CASE(a_broken_run_of_it_is_not_tried_again_nor_called_not_run) {
  bench Bench;
  auto Plan = Bench.plan({"s0"}, Once);
  Plan.start(Start);
  const auto End = Plan.onEnded({0, 0}, attempt_end::Broken, Start + 5ms);
  BOOST_TEST(countOf<send_attempt>(End) == 0);
  BOOST_TEST((verdictOf(End) == plan_verdict::Unavailable));
}

BOOST_AUTO_TEST_CASE(a_true_refusal_of_it_may_go_elsewhere) {
  bench Bench;
  auto Plan = Bench.plan({"s0"}, Once);
  Plan.start(Start);
  const auto Next = Plan.onEnded({0, 0}, attempt_end::Shed, Start + 5ms);
  BOOST_TEST(countOf<send_attempt>(Next) == 1);
  const auto End = Plan.onEnded({0, 1}, attempt_end::Unreachable, Start + 9ms);
  BOOST_TEST((verdictOf(End) == plan_verdict::NotRun));
}

BOOST_AUTO_TEST_CASE(not_run_is_not_said_once_a_repeatable_one_may_have_run) {
  bench Bench;
  auto Plan = Bench.plan({"s0"}, Idempotent);
  Plan.start(Start);
  Plan.onEnded({0, 0}, attempt_end::Broken, Start + 5ms);
  const auto End = Plan.onEnded({0, 1}, attempt_end::Shed, Start + 9ms);
  BOOST_TEST((verdictOf(End) == plan_verdict::Unavailable));
}

BOOST_AUTO_TEST_CASE(attempts_bound_each_part) {
  bench Bench;
  Bench.add("s0c", "s0");
  auto Plan = Bench.plan({"s0"}, Idempotent, 2);
  Plan.start(Start);
  Plan.onEnded({0, 0}, attempt_end::Broken, Start + 5ms);
  const auto End = Plan.onEnded({0, 1}, attempt_end::Broken, Start + 9ms);
  BOOST_TEST(countOf<send_attempt>(End) == 0);
}

BOOST_AUTO_TEST_CASE(without_budget_there_is_no_second_attempt) {
  bench Bench;
  Bench.Budgets.setLimits({0, 0, milliseconds(10000), 1});
  auto Plan = Bench.plan({"s0"}, Idempotent);
  Plan.start(Start);
  const auto End = Plan.onEnded({0, 0}, attempt_end::Broken, Start + 5ms);
  BOOST_TEST(countOf<send_attempt>(End) == 0);
  BOOST_TEST((verdictOf(End) == plan_verdict::Unavailable));
}

BOOST_AUTO_TEST_CASE(a_target_error_is_passed_on_when_nothing_is_left) {
  bench Bench;
  auto Plan = Bench.plan({"s0"}, Once);
  Plan.start(Start);
  const auto End = Plan.onEnded({0, 0}, attempt_end::Failed, Start + 5ms);
  BOOST_TEST((verdictOf(End) == plan_verdict::TargetError));
}

BOOST_AUTO_TEST_CASE(the_deadline_ends_it_and_cancels_what_is_out) {
  bench Bench;
  auto Plan = Bench.plan({"s0"}, Once);
  Plan.start(Start);
  const auto End = Plan.onTimer(Start + 1900ms);
  BOOST_TEST(countOf<cancel_attempt>(End) == 1);
  BOOST_TEST((verdictOf(End) == plan_verdict::TimedOut));
}

BOOST_AUTO_TEST_CASE(a_service_without_targets_is_refused_at_once) {
  bench Bench;
  auto Plan = Bench.plan({"unknown"}, Idempotent);
  BOOST_TEST((verdictOf(Plan.start(Start)) == plan_verdict::NotRun));
}

BOOST_AUTO_TEST_CASE(a_caller_that_left_has_its_attempts_cancelled) {
  bench Bench;
  auto Plan = Bench.plan({"s0", "s1"}, Idempotent);
  Plan.start(Start);
  BOOST_TEST(countOf<cancel_attempt>(Plan.abandon(Start + 5ms)) == 2);
  BOOST_TEST(Plan.finished());
  BOOST_TEST(Plan.onEnded({0, 0}, attempt_end::Answered, Start + 9ms).empty());
}

BOOST_AUTO_TEST_SUITE_END()
