#include <boost/test/unit_test.hpp>

#include "query/versiontable.h"

using namespace tarragon;
using namespace tarragon::query;

namespace {

/// Two services: the first has two groups of two targets, the second one group
/// of one target.
struct two_services {
  two_services() {
    Deployment.Services = {{"p",
                            "",
                            "x",
                            {},
                            {{"p/0", {{"p0a", "", ""}, {"p0b", "", ""}}},
                             {"p/1", {{"p1a", "", ""}, {"p1b", "", ""}}}}},
                           {"q", "", "x", {}, {{"q/0", {{"q0", "", ""}}}}}};
    Contract.Services = {"p", "q"};
  }

  auto pinned() const -> index_version {
    return Table.pin(Deployment, Contract).value().Version;
  }

  time_point Now;
  deployment Deployment;
  contract Contract;
  version_table Table;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(version_table_tests, two_services)

BOOST_AUTO_TEST_CASE(pins_the_newest_version_common_to_all_services) {
  Table.recordHeld("p0a", {{7, 2}, {8, 4}}, Now);
  Table.recordHeld("p1b", {{7, 2}, {8, 4}}, Now);
  Table.recordHeld("q0", {{6, 1}, {7, 1}}, Now);
  const pinned_snapshot Expected{7, {{"p", 2}, {"q", 1}}};
  BOOST_TEST((Table.pin(Deployment, Contract) == Expected));
  BOOST_TEST(!Table.pin(Deployment, Contract)->Likely);
  BOOST_TEST(!Table.pin(Deployment, Contract, 7).has_value());
  BOOST_TEST((Table.find(Deployment, Contract, 7) == Expected));
  BOOST_TEST(!Table.find(Deployment, Contract, 8).has_value());
}

BOOST_AUTO_TEST_CASE(a_version_with_differing_shard_counts_is_not_common) {
  Table.recordHeld("p0a", {{7, 2}, {8, 4}}, Now);
  Table.recordHeld("p1a", {{7, 2}, {8, 3}}, Now);
  Table.recordHeld("p1b", {{7, 2}}, Now);
  Table.recordHeld("p0b", {{7, 2}}, Now);
  Table.recordHeld("q0", {{7, 1}, {8, 1}}, Now);
  BOOST_TEST(pinned() == 7U);
}

BOOST_AUTO_TEST_CASE(hint_stands_in_for_unreported_targets_until_contradicted) {
  Table.recordHint("x", {3, {{"p", 2}, {"q", 1}}});
  BOOST_TEST(pinned() == 3U);
  Table.recordHeld("q0", {{2, 1}, {3, 1}}, Now);
  BOOST_TEST(pinned() == 3U);
  Table.recordHeld("p0a", {{4, 2}}, Now); // the hint is out of date for p
  BOOST_TEST(Table.pin(Deployment, Contract)->Likely);
  BOOST_TEST(pinned() == 4U);
}

BOOST_AUTO_TEST_CASE(
    without_reports_it_pins_version_0_with_one_shard_per_group) {
  const auto Discovery = Table.pin(Deployment, Contract);
  BOOST_TEST((Discovery == pinned_snapshot{0, {{"p", 2}, {"q", 1}}}));
  BOOST_TEST(Discovery->Likely);
}

BOOST_AUTO_TEST_CASE(pins_a_likely_version_when_none_is_known_to_be_common) {
  Table.recordHeld("p0a", {{6, 2}}, Now);
  Table.recordHeld("p0b", {{6, 2}}, Now);
  Table.recordHeld("p1a", {{7, 2}}, Now);
  Table.recordHeld("q0", {{7, 1}}, Now);
  BOOST_TEST(pinned() == 7U); // p0a may have received it since its report
  BOOST_TEST(Table.pin(Deployment, Contract)->Likely);
}

BOOST_AUTO_TEST_CASE(a_lost_target_does_not_keep_a_version_pinned) {
  Table.recordHeld("p0a", {{7, 2}, {8, 2}}, Now);
  Now += milliseconds(10000);
  Table.recordHeld("p0b", {{7, 2}}, Now);
  Table.recordHeld("p1a", {{7, 2}, {8, 2}}, Now);
  Table.recordHeld("q0", {{7, 1}, {8, 1}}, Now);
  BOOST_TEST(pinned() == 8U);
  Table.expire(Now);
  BOOST_TEST(pinned() == 7U);
  Table.removeTarget("p0a");
  Table.expire(Now + milliseconds(60000)); // all are stale, so all count
  BOOST_TEST(pinned() == 7U);
}

BOOST_AUTO_TEST_CASE(unavailable_requires_a_report_of_every_target) {
  Table.recordHeld("q0", {{7, 1}}, Now);
  BOOST_TEST(Table.isUnavailable(Deployment, Contract, 6));
  BOOST_TEST(!Table.isUnavailable(Deployment, Contract, 7));
}

BOOST_AUTO_TEST_CASE(ignores_older_reports_and_stays_bounded) {
  Table.recordHeld("q0", {{7, 1}}, Now + milliseconds(5));
  Table.recordHeld("q0", {{6, 1}}, Now);
  Table.recordHeld("q0", {}, Now + milliseconds(9));
  BOOST_TEST(Table.isUnavailable(Deployment, Contract, 6));
  for (int Number = 0; Number < 9000; ++Number) {
    Table.recordHeld(std::to_string(Number), {{1, 1}}, Now);
    Table.recordHint(std::to_string(Number), {1, {}});
  }
  BOOST_TEST(Table.size() == 8192U + 256U);
  // The report of q0 is the newest, so it is kept.
  BOOST_TEST(Table.isUnavailable(Deployment, Contract, 6));
}

BOOST_AUTO_TEST_SUITE_END()
