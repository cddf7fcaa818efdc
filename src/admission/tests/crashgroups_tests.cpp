#include "admission/crashgroups.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::admission;

namespace {

const time_point Start{std::chrono::hours(1)};
constexpr fingerprint Poison = 1;
constexpr fingerprint Innocent = 2;

/// Returns a run that was under way for \p Span when its target crashed.
auto run(const std::string &Target, const fingerprint Request,
         const time_point EndedAt, const milliseconds Span = 50ms)
    -> crashed_run {
  return {Request, Target, 1, EndedAt - Span, EndedAt};
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashgroups)

// Many targets crash at once while queries run on some of them.
BOOST_AUTO_TEST_CASE(a_request_on_only_some_crashed_targets_is_not_reported) {
  crash_groups Groups;
  Groups.add(run("t1", Poison, Start), Start);
  Groups.add(run("t2", Poison, Start + 1ms), Start + 1ms);
  Groups.add(run("t2", Innocent, Start + 1ms), Start + 1ms);
  Groups.add(run("t3", Innocent, Start + 2ms), Start + 2ms);
  BOOST_TEST(Groups.take(Start + crash_groups::GroupingTime).empty());
}

BOOST_AUTO_TEST_CASE(a_request_on_all_crashed_targets_is_reported_once) {
  crash_groups Groups;
  for (const std::string Target : {"t1", "t2", "t3"})
    Groups.add(run(Target, Poison, Start), Start);
  Groups.add(run("t2", Innocent, Start), Start);
  BOOST_TEST(Groups.take(Start + crash_groups::GroupingTime - 1ms).empty());
  const auto Reports = Groups.take(Start + crash_groups::GroupingTime);
  BOOST_REQUIRE(Reports.size() == 1U);
  BOOST_TEST(Reports[0].Fingerprint == Poison);
  BOOST_TEST(Groups.take(Start + 10s).empty());
}

BOOST_AUTO_TEST_CASE(all_requests_on_a_single_crashed_target_are_reported) {
  crash_groups Groups;
  Groups.add(run("t1", Poison, Start), Start);
  Groups.add(run("t1", Innocent, Start), Start);
  BOOST_TEST(Groups.take(Start + 1s).size() == 2U);
}

BOOST_AUTO_TEST_CASE(crashes_outside_the_time_span_are_separate) {
  crash_groups Groups;
  Groups.add(run("t1", Poison, Start), Start);
  BOOST_TEST(Groups.take(Start + 1s).size() == 1U);
  Groups.add(run("t2", Poison, Start + 2s), Start + 2s);
  const auto Reports = Groups.take(Start + 3s);
  BOOST_REQUIRE(Reports.size() == 1U);
  BOOST_TEST(Reports[0].Target == "t2");
}

// Each retry of a request crashes the next target within the time of a group.
BOOST_AUTO_TEST_CASE(
    a_request_that_crashes_one_target_after_the_other_counts_each) {
  crash_groups Groups;
  Groups.add(run("t2", Poison, Start), Start + 1ms);
  Groups.add(run("t1", Poison, Start + 20ms, 20ms), Start + 21ms);
  Groups.add(run("t3", Poison, Start + 40ms, 19ms), Start + 41ms);
  Groups.add(run("t1", Innocent, Start + 20ms), Start + 21ms);
  const auto Reports = Groups.take(Start + 1s);
  BOOST_REQUIRE(Reports.size() == 3U);
  for (const crash_report &Report : Reports)
    BOOST_TEST(Report.Fingerprint == Poison);
  BOOST_TEST(Reports[0].Target == "t2");
  BOOST_TEST(Reports[0].StartedAtMs == 1);
}

BOOST_AUTO_TEST_SUITE_END()
