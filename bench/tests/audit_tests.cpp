#define BOOST_TEST_MODULE bench
#include <boost/test/unit_test.hpp>

#include "bench/core/audit.h"
#include "bench/core/schedule.h"
#include "bench/core/stats.h"
#include "global/hash.h"
#include "standins/corpus.h"

#include <algorithm>

using namespace tarragon;
using namespace tarragon::bench;

namespace {

constexpr std::size_t Limit = 10;

auto smallTopology() -> topology {
  topology Topology = storefront();
  Topology.ServiceCount = 2;
  Topology.Versions = "7:2,8:3";
  return Topology;
}

/// Returns the expected answer without the shard \p Without of the first
/// service.
auto expectedAnswer(const topology &Topology, const index_version Version,
                    const std::size_t Shards, const int Without = -1)
    -> call_record {
  call_record Record;
  Record.Call.Contract = "search";
  Record.Call.Body = "roses";
  Record.Version = Version;
  Record.Asked = Shards * Topology.ServiceCount;
  for (std::size_t Service = 0; Service < Topology.ServiceCount; ++Service)
    for (std::size_t Shard = 0; Shard < Shards; ++Shard) {
      if (Service == 0 && static_cast<int>(Shard) == Without) {
        missing_shard Missing;
        Missing.Service = serviceName(Service);
        Missing.Shard = Shard;
        Record.Missing.push_back(Missing);
        continue;
      }
      ++Record.Answered;
      const auto Items = standins::bestItems(
          standins::shardKeys(serviceName(Service), Topology.ItemCount, Shard,
                              Shards),
          Record.Call.Body, Version, Limit);
      Record.Items.insert(Record.Items.end(), Items.begin(), Items.end());
    }
  std::sort(Record.Items.begin(), Record.Items.end(), standins::comesBefore);
  Record.Items.resize(Limit);
  Record.Complete = Record.Missing.empty();
  Record.Code = Record.Complete ? 0 : 1;
  return Record;
}

auto check(const call_record &Record) -> invariant_violations {
  invariant_audit Audit(smallTopology());
  invariant_violations Violations;
  Audit.checkAnswers({Record}, Violations);
  return Violations;
}

auto startEvent(const std::string &Body) -> run_event {
  run_event Event;
  Event.Event = "start";
  Event.Request = hash64(Body);
  return Event;
}

} // namespace

BOOST_AUTO_TEST_SUITE(audit)

BOOST_AUTO_TEST_CASE(expected_answers_pass) {
  for (const int Without : {-1, 0, 1}) {
    const auto Violations =
        check(expectedAnswer(smallTopology(), 7, 2, Without));
    BOOST_TEST(Violations.Mixed == 0);
    BOOST_TEST(Violations.CoverageErrors == 0);
  }
  BOOST_TEST(check(expectedAnswer(smallTopology(), 8, 3)).CoverageErrors == 0);
}

BOOST_AUTO_TEST_CASE(an_item_of_another_version_is_detected) {
  call_record Record = expectedAnswer(smallTopology(), 7, 2);
  Record.Items[4].Body = "v8";
  BOOST_TEST(check(Record).Mixed == 1);
}

BOOST_AUTO_TEST_CASE(a_partial_answer_marked_complete_is_detected) {
  call_record Record = expectedAnswer(smallTopology(), 7, 2, 1);
  Record.Missing.clear();
  Record.Answered = Record.Asked;
  Record.Complete = true;
  Record.Code = 0;
  BOOST_TEST(check(Record).CoverageErrors == 1);
}

BOOST_AUTO_TEST_CASE(the_shard_count_of_another_version_is_detected) {
  call_record Record = expectedAnswer(smallTopology(), 7, 2);
  Record.Asked = 6;
  Record.Answered = 6;
  BOOST_TEST(check(Record).CoverageErrors == 1);
}

BOOST_AUTO_TEST_CASE(a_wrong_item_order_is_detected) {
  call_record Record = expectedAnswer(smallTopology(), 7, 2);
  std::swap(Record.Items[0], Record.Items[1]);
  BOOST_TEST(check(Record).CoverageErrors == 1);
}

BOOST_AUTO_TEST_CASE(runs_that_contradict_answers_are_detected) {
  call_record Order;
  Order.Call.Body = "order";
  Order.Call.Repeatable = false;
  Order.Code = 0;
  call_record Refused;
  Refused.Call.Body = "refused";
  Refused.Code = 200;
  invariant_violations Clean;
  invariant_audit::checkRuns({Order, Refused}, {startEvent("order")}, Clean);
  BOOST_TEST(Clean.RunTwice + Clean.FalseNotRun == 0);
  invariant_violations Violations;
  invariant_audit::checkRuns(
      {Order, Refused},
      {startEvent("order"), startEvent("refused"), startEvent("order")},
      Violations);
  BOOST_TEST(Violations.RunTwice == 1);
  BOOST_TEST(Violations.FalseNotRun == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(measures)

BOOST_AUTO_TEST_CASE(quantiles_use_the_nearest_rank) {
  std::vector<double> Values;
  for (int Number = 100; Number > 0; --Number)
    Values.push_back(Number);
  BOOST_TEST(quantile(Values, 0.99) == 99);
  BOOST_TEST(quantile(Values, 0.5) == 50);
  BOOST_TEST(quantile(Values, 1.0) == 100);
  BOOST_TEST(quantile({}, 0.5) == 0);
  BOOST_TEST(median({3, 1, 2}) == 2);
  BOOST_TEST(median({4, 1, 2, 3}) == 2.5);
}

BOOST_AUTO_TEST_CASE(schedules_are_determined_by_their_seed) {
  schedule_plan Plan;
  Plan.PerSecond = 200;
  Plan.Length = milliseconds(10000);
  Plan.Label = "x";
  const auto One = makeSchedule(Plan, 5);
  const auto Same = makeSchedule(Plan, 5);
  const auto Other = makeSchedule(Plan, 6);
  BOOST_TEST(One.size() > 1700);
  BOOST_TEST(One.size() < 2300);
  BOOST_TEST_REQUIRE(One.size() == Same.size());
  BOOST_TEST((One.back().At == Same.back().At));
  BOOST_TEST((One.front().At != Other.front().At));
  BOOST_TEST(One.front().Body != One.back().Body);
}

BOOST_AUTO_TEST_SUITE_END()
