#include "admission/crashgroups.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace tarragon;
using namespace tarragon::admission;

namespace {

const time_point Start{std::chrono::hours(1)};
constexpr fingerprint Harmful = 1;
constexpr fingerprint Innocent = 2;

} // namespace

BOOST_AUTO_TEST_SUITE(crashgroups)

// Load: many targets crash at once, under queries that ran on some of them.
BOOST_AUTO_TEST_CASE(what_ran_on_some_of_the_crashed_is_not_to_blame) {
  crash_groups Groups;
  Groups.add("t1", Harmful, Start);
  Groups.add("t2", Harmful, Start + 1ms);
  Groups.add("t2", Innocent, Start + 1ms);
  Groups.add("t3", Innocent, Start + 2ms);
  BOOST_TEST(Groups.take(Start + crash_groups::Span).empty());
}

BOOST_AUTO_TEST_CASE(what_ran_on_all_of_the_crashed_is_one_crash) {
  crash_groups Groups;
  for (const std::string Target : {"t1", "t2", "t3"})
    Groups.add(Target, Harmful, Start);
  Groups.add("t2", Innocent, Start);
  BOOST_TEST(Groups.take(Start + crash_groups::Span - 1ms).empty());
  const auto Reports = Groups.take(Start + crash_groups::Span);
  BOOST_REQUIRE(Reports.size() == 1U);
  BOOST_TEST(Reports[0].Fingerprint == Harmful);
  BOOST_TEST(Groups.take(Start + 10s).empty());
}

BOOST_AUTO_TEST_CASE(all_that_ran_on_one_crashed_target_are_suspects) {
  crash_groups Groups;
  Groups.add("t1", Harmful, Start);
  Groups.add("t1", Innocent, Start);
  BOOST_TEST(Groups.take(Start + 1s).size() == 2U);
}

BOOST_AUTO_TEST_CASE(crashes_apart_in_time_are_two) {
  crash_groups Groups;
  Groups.add("t1", Harmful, Start);
  BOOST_TEST(Groups.take(Start + 1s).size() == 1U);
  Groups.add("t2", Harmful, Start + 2s);
  const auto Reports = Groups.take(Start + 3s);
  BOOST_REQUIRE(Reports.size() == 1U);
  BOOST_TEST(Reports[0].Target == "t2");
}

BOOST_AUTO_TEST_SUITE_END()
