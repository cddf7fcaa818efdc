#include "admission/crashgroups.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::admission;

namespace {

const time_point Start{std::chrono::hours(1)};
constexpr fingerprint Poison = 1;
constexpr fingerprint Innocent = 2;

} // namespace

BOOST_AUTO_TEST_SUITE(crashgroups)

// Many targets crash at once while queries run on some of them.
BOOST_AUTO_TEST_CASE(a_request_on_only_some_crashed_targets_is_not_reported) {
  crash_groups Groups;
  Groups.add("t1", Poison, Start);
  Groups.add("t2", Poison, Start + 1ms);
  Groups.add("t2", Innocent, Start + 1ms);
  Groups.add("t3", Innocent, Start + 2ms);
  BOOST_TEST(Groups.take(Start + crash_groups::GroupingTime).empty());
}

BOOST_AUTO_TEST_CASE(a_request_on_all_crashed_targets_is_reported_once) {
  crash_groups Groups;
  for (const std::string Target : {"t1", "t2", "t3"})
    Groups.add(Target, Poison, Start);
  Groups.add("t2", Innocent, Start);
  BOOST_TEST(Groups.take(Start + crash_groups::GroupingTime - 1ms).empty());
  const auto Reports = Groups.take(Start + crash_groups::GroupingTime);
  BOOST_REQUIRE(Reports.size() == 1U);
  BOOST_TEST(Reports[0].Fingerprint == Poison);
  BOOST_TEST(Groups.take(Start + 10s).empty());
}

BOOST_AUTO_TEST_CASE(all_requests_on_a_single_crashed_target_are_reported) {
  crash_groups Groups;
  Groups.add("t1", Poison, Start);
  Groups.add("t1", Innocent, Start);
  BOOST_TEST(Groups.take(Start + 1s).size() == 2U);
}

BOOST_AUTO_TEST_CASE(crashes_outside_the_time_span_are_separate) {
  crash_groups Groups;
  Groups.add("t1", Poison, Start);
  BOOST_TEST(Groups.take(Start + 1s).size() == 1U);
  Groups.add("t2", Poison, Start + 2s);
  const auto Reports = Groups.take(Start + 3s);
  BOOST_REQUIRE(Reports.size() == 1U);
  BOOST_TEST(Reports[0].Target == "t2");
}

BOOST_AUTO_TEST_SUITE_END()
