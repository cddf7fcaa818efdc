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

/// Two shards of two targets each, and the state that plans share.
struct plan_fixture {
  plan_fixture() {
    Budgets.setLimits({0.2, 100, milliseconds(10000), 1});
    for (const std::string Service : {"s0", "s1"})
      for (const std::string Replica : {"a", "b"})
        add(Service + Replica, Service);
  }

  auto add(const std::string &Id, const std::string &Service) -> void {
    route::target_entry Entry;
    Entry.Id = Id;
    Entry.Service = Service;
    Entry.StartedAtMs = 1;
    Targets.apply(Targets.registry().put(Entry), Start);
  }

  auto plan(std::vector<std::string> Services,
            const route::repeatability Repeatability, const int MaxAttempts = 2)
      -> request_plan {
    plan_settings Settings;
    Settings.MinParts = Services.size();
    Settings.Services = std::move(Services);
    Settings.Repeatability = Repeatability;
    Settings.MaxAttempts = MaxAttempts;
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
constexpr auto NonIdempotent = route::repeatability::NonIdempotent;

} // namespace

BOOST_AUTO_TEST_SUITE(requestplan)

BOOST_AUTO_TEST_CASE(each_part_is_sent_once_and_the_answer_is_complete) {
  plan_fixture Fixture;
  auto Plan = Fixture.plan({"s0", "s1"}, Idempotent);
  BOOST_TEST(countOf<send_attempt>(Plan.start(Start)) == 2);
  BOOST_TEST(
      !verdictOf(Plan.onEnded({0, 0}, attempt_end::Answered, Start + 20ms)));
  const auto Last = Plan.onEnded({1, 0}, attempt_end::Answered, Start + 25ms);
  BOOST_TEST((verdictOf(Last) == plan_verdict::Answer));
}

BOOST_AUTO_TEST_CASE(
    a_late_part_is_hedged_and_the_slower_attempt_is_cancelled) {
  plan_fixture Fixture;
  auto Plan = Fixture.plan({"s0"}, Idempotent);
  Plan.start(Start);
  const time_point Wake = Plan.nextWake();
  BOOST_TEST((Wake > Start && Wake < Start + 180ms));
  BOOST_TEST(countOf<send_attempt>(Plan.onTimer(Wake)) == 1);
  const auto Last = Plan.onEnded({0, 1}, attempt_end::Answered, Wake + 20ms);
  BOOST_TEST(countOf<cancel_attempt>(Last) == 1);
  BOOST_TEST((verdictOf(Last) == plan_verdict::Answer));
}

BOOST_AUTO_TEST_CASE(a_non_idempotent_request_is_never_hedged) {
  plan_fixture Fixture;
  auto Plan = Fixture.plan({"s0"}, NonIdempotent);
  Plan.start(Start);
  BOOST_TEST((Plan.nextWake() >= Start + 180ms));
  BOOST_TEST(countOf<send_attempt>(Plan.onTimer(Start + 1000ms)) == 0);
}

BOOST_AUTO_TEST_CASE(
    a_broken_non_idempotent_attempt_is_not_retried_nor_reported_not_run) {
  plan_fixture Fixture;
  auto Plan = Fixture.plan({"s0"}, NonIdempotent);
  Plan.start(Start);
  const auto End = Plan.onEnded({0, 0}, attempt_end::Broken, Start + 5ms);
  BOOST_TEST(countOf<send_attempt>(End) == 0);
  BOOST_TEST((verdictOf(End) == plan_verdict::Unavailable));
}

BOOST_AUTO_TEST_CASE(a_non_idempotent_attempt_proven_not_run_is_retried) {
  plan_fixture Fixture;
  auto Plan = Fixture.plan({"s0"}, NonIdempotent);
  Plan.start(Start);
  const auto Next = Plan.onEnded({0, 0}, attempt_end::Shed, Start + 5ms);
  BOOST_TEST(countOf<send_attempt>(Next) == 1);
  const auto End = Plan.onEnded({0, 1}, attempt_end::Unreachable, Start + 9ms);
  BOOST_TEST((verdictOf(End) == plan_verdict::NotRun));
}

BOOST_AUTO_TEST_CASE(
    an_idempotent_request_that_may_have_run_is_not_reported_as_not_run) {
  plan_fixture Fixture;
  auto Plan = Fixture.plan({"s0"}, Idempotent);
  Plan.start(Start);
  Plan.onEnded({0, 0}, attempt_end::Broken, Start + 5ms);
  const auto End = Plan.onEnded({0, 1}, attempt_end::Shed, Start + 9ms);
  BOOST_TEST((verdictOf(End) == plan_verdict::Unavailable));
}

BOOST_AUTO_TEST_CASE(attempts_of_each_part_are_bounded) {
  plan_fixture Fixture;
  Fixture.add("s0c", "s0");
  auto Plan = Fixture.plan({"s0"}, Idempotent, 2);
  Plan.start(Start);
  Plan.onEnded({0, 0}, attempt_end::Broken, Start + 5ms);
  const auto End = Plan.onEnded({0, 1}, attempt_end::Broken, Start + 9ms);
  BOOST_TEST(countOf<send_attempt>(End) == 0);
}

BOOST_AUTO_TEST_CASE(no_extra_attempt_is_sent_without_budget) {
  plan_fixture Fixture;
  Fixture.Budgets.setLimits({0, 0, milliseconds(10000), 1});
  auto Plan = Fixture.plan({"s0"}, Idempotent);
  Plan.start(Start);
  const auto End = Plan.onEnded({0, 0}, attempt_end::Broken, Start + 5ms);
  BOOST_TEST(countOf<send_attempt>(End) == 0);
  BOOST_TEST((verdictOf(End) == plan_verdict::Unavailable));
}

BOOST_AUTO_TEST_CASE(a_target_error_is_passed_on_when_no_attempt_remains) {
  plan_fixture Fixture;
  auto Plan = Fixture.plan({"s0"}, NonIdempotent);
  Plan.start(Start);
  const auto End = Plan.onEnded({0, 0}, attempt_end::Failed, Start + 5ms);
  BOOST_TEST((verdictOf(End) == plan_verdict::TargetError));
}

BOOST_AUTO_TEST_CASE(
    the_deadline_ends_the_plan_and_cancels_attempts_in_flight) {
  plan_fixture Fixture;
  auto Plan = Fixture.plan({"s0"}, NonIdempotent);
  Plan.start(Start);
  const auto End = Plan.onTimer(Start + 1900ms);
  BOOST_TEST(countOf<cancel_attempt>(End) == 1);
  BOOST_TEST((verdictOf(End) == plan_verdict::TimedOut));
}

BOOST_AUTO_TEST_CASE(
    a_request_to_a_service_without_targets_is_refused_immediately) {
  plan_fixture Fixture;
  auto Plan = Fixture.plan({"unknown"}, Idempotent);
  BOOST_TEST((verdictOf(Plan.start(Start)) == plan_verdict::NotRun));
}

BOOST_AUTO_TEST_CASE(attempts_of_a_disconnected_caller_are_cancelled) {
  plan_fixture Fixture;
  auto Plan = Fixture.plan({"s0", "s1"}, Idempotent);
  Plan.start(Start);
  BOOST_TEST(countOf<cancel_attempt>(Plan.abandon(Start + 5ms)) == 2);
  BOOST_TEST(Plan.finished());
  BOOST_TEST(Plan.onEnded({0, 0}, attempt_end::Answered, Start + 9ms).empty());
}

// Both targets of a service asked for no requests for some time.
BOOST_AUTO_TEST_CASE(a_request_waits_only_for_a_target_that_reopens_in_time) {
  plan_fixture Fixture;
  Fixture.Targets.close("s0a", Start + 50ms);
  Fixture.Targets.close("s0b", Start + 5s);
  auto Waiting = Fixture.plan({"s0"}, NonIdempotent);
  const auto Begun = Waiting.start(Start);
  BOOST_TEST(countOf<send_attempt>(Begun) == 0);
  BOOST_TEST(!verdictOf(Begun));
  BOOST_TEST(countOf<send_attempt>(Waiting.onTimer(Start + 40ms)) == 0);
  BOOST_TEST(countOf<send_attempt>(Waiting.onTimer(Start + 50ms)) == 1);

  Fixture.Targets.close("s0a", Start + 4s);
  auto Refused = Fixture.plan({"s0"}, NonIdempotent);
  const auto Actions = Refused.start(Start);
  BOOST_REQUIRE((verdictOf(Actions) == plan_verdict::NotRun));
  BOOST_TEST((std::get<finish_plan>(Actions.back()).RetryAfter == 4s));
}

// A closed target gets neither the hedge nor the retry of a part.
BOOST_AUTO_TEST_CASE(a_closed_target_gets_no_extra_attempt) {
  plan_fixture Fixture;
  auto Plan = Fixture.plan({"s0"}, Idempotent);
  const auto Begun = Plan.start(Start);
  BOOST_REQUIRE(countOf<send_attempt>(Begun) == 1);
  const bool First = std::get<send_attempt>(Begun[0]).Target.Id == "s0a";
  Fixture.Targets.close(First ? "s0b" : "s0a", Start + 5s);
  BOOST_TEST(countOf<send_attempt>(Plan.onTimer(Start + 150ms)) == 0);
  const auto Ended = Plan.onEnded({0, 0}, attempt_end::Shed, Start + 160ms);
  BOOST_TEST(countOf<send_attempt>(Ended) == 0);
}

/// Makes target \p Id of \p Fixture shed most of its attempts, and the other
/// one of service s0 busy.
auto makeShedding(plan_fixture &Fixture, const std::string &Id) -> void {
  for (int Attempt = 0; Attempt < 4; ++Attempt) {
    Fixture.Targets.health(Id).onSent(Start);
    Fixture.Targets.health(Id).onEnded(attempt_end::Shed, 2ms, 60ms, Start);
  }
  for (int Attempt = 0; Attempt < 5; ++Attempt)
    Fixture.Targets.health("s0a").onSent(Start);
}

// A target that sheds is taken while a retry can make up for it, but not for
// the last attempt, and not while the budget has no retry left: the part would
// be missing.
BOOST_AUTO_TEST_CASE(an_attempt_that_cannot_be_retried_avoids_refusals) {
  plan_fixture Fixture;
  makeShedding(Fixture, "s0b");
  const auto TargetOf = [&Fixture](const int MaxAttempts) {
    auto Plan = Fixture.plan({"s0"}, NonIdempotent, MaxAttempts);
    const auto Actions = Plan.start(Start);
    Plan.abandon(Start);
    return std::get<send_attempt>(Actions.at(0)).Target.Id;
  };
  BOOST_TEST(TargetOf(2) == "s0b");
  BOOST_TEST(TargetOf(1) == "s0a");
  while (Fixture.Budgets.budget("s0").tryAcquire(extra_purpose::Retry, Start)) {
  }
  BOOST_TEST(TargetOf(2) == "s0a");
}

// All targets of the service are silent for longer than expected; the request
// that may not run again is still with one of them.
BOOST_AUTO_TEST_CASE(a_slow_run_that_may_not_be_repeated_is_not_given_up) {
  plan_fixture Fixture;
  for (const std::string Id : {"s0a", "s0b"}) {
    Fixture.Targets.health(Id).onSent(Start - 1s);
    Fixture.Targets.health(Id).onSent(Start - 1s);
  }
  Fixture.add("s0c", "s0");
  auto Plan = Fixture.plan({"s0"}, NonIdempotent);
  BOOST_REQUIRE(countOf<send_attempt>(Plan.start(Start)) == 1);
  for (auto Time = 100ms; Time < 1900ms; Time += 100ms)
    BOOST_TEST(!verdictOf(Plan.onTimer(Start + Time)));
  BOOST_TEST((verdictOf(Plan.onEnded({0, 0}, attempt_end::Answered,
                                     Start + 1850ms)) == plan_verdict::Answer));
}

BOOST_AUTO_TEST_CASE(an_early_end_uses_the_parts_that_are_there) {
  for (const std::size_t MinParts : {1, 2}) {
    plan_fixture Fixture;
    plan_settings Settings = Fixture.plan({"s0", "s1"}, Idempotent).settings();
    Settings.MinParts = MinParts;
    request_plan Plan({Fixture.Targets, Fixture.Budgets, Fixture.Latencies},
                      Settings);
    static_cast<void>(Plan.start(Start));
    static_cast<void>(
        Plan.onEnded({0, 0}, attempt_end::Answered, Start + 20ms));
    const auto Ended = Plan.endNow(Start + 30ms);
    const auto Expected =
        MinParts == 1 ? plan_verdict::Answer : plan_verdict::TimedOut;
    BOOST_TEST((verdictOf(Ended) == Expected));
    BOOST_TEST(countOf<cancel_attempt>(Ended) == 1);
    BOOST_TEST(Plan.finished());
    BOOST_TEST(Plan.endNow(Start + 31ms).empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
