#include <boost/test/unit_test.hpp>

#include "config/deploymentfile.h"
#include "config/tests/filetext.h"

using namespace tarragon;
using namespace tarragon::config;

namespace {

using string_list = std::vector<std::string>;

auto small() -> deployment { return parseDeployment(smallFile()).Deployment; }

/// Returns the single difference that \p Apply makes, or the number of
/// differences.
template <class Change> auto difference(const Change &Apply) -> std::string {
  deployment New = small();
  Apply(New);
  const string_list Found = diffDeployments(small(), New);
  return Found.size() == 1 ? Found[0]
                           : std::to_string(Found.size()) + " differences";
}

} // namespace

BOOST_AUTO_TEST_CASE(equal_deployments_do_not_differ) {
  BOOST_TEST(diffDeployments(small(), small()).empty());
}

BOOST_AUTO_TEST_CASE(each_difference_is_described_on_one_line) {
  using std::chrono_literals::operator""ms;
  BOOST_TEST(difference([](deployment &New) {
               New.Contracts[0].Deadline = 150ms;
             }) == "contract c: deadline 200ms -> 150ms");
  BOOST_TEST(difference([](deployment &New) { New.MaxInstances = 9; }) ==
             "deployment: most_instances 8 -> 9");
  BOOST_TEST(difference([](deployment &New) { New.Contracts.clear(); }) ==
             "contract c: removed");
  BOOST_TEST(difference([](deployment &New) {
               New.Services.push_back({"r", "t", "i", {}, {}});
             }) == "service r: added");
  BOOST_TEST(difference([](deployment &New) {
               New.Services[0].Groups[0].Targets[0].Address = "127.0.0.1:9";
             }) == "group s/a target x: address 127.0.0.1:1 -> 127.0.0.1:9");
  BOOST_TEST(difference([](deployment &New) {
               New.Services[0].Groups.push_back({"s/b", {}});
             }) == "group s/b: added");
  BOOST_TEST(difference([](deployment &New) {
               New.Contracts[0].Repeatable = false;
             }) == "contract c: repeatable true -> false");
}

BOOST_AUTO_TEST_CASE(reordered_groups_are_a_difference) {
  deployment Old = small();
  Old.Services[0].Groups.push_back({"s/b", {}});
  deployment New = Old;
  std::swap(New.Services[0].Groups[0], New.Services[0].Groups[1]);
  const string_list Wanted{"service s: groups [s/a, s/b] -> [s/b, s/a]"};
  BOOST_TEST(diffDeployments(Old, New) == Wanted,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(foreign_teams_are_listed_once) {
  const deployment Old = small();
  deployment New = Old;
  New.Contracts[0].Limit = 3;
  New.Services.push_back({"r", "u", "i", {}, {}});
  New.Services.push_back({"q", "u", "i", {}, {}});
  const string_list Both{"t", "u"};
  BOOST_TEST(foreignChanges(Old, New, "v") == Both,
             boost::test_tools::per_element());
  BOOST_TEST(foreignChanges(Old, New, "t") == string_list{"u"},
             boost::test_tools::per_element());
  BOOST_TEST(foreignChanges(Old, New, "").empty());
  deployment Shared = Old;
  Shared.MaxInstances = 9;
  BOOST_TEST(foreignChanges(Old, Shared, "v") == string_list{"t"},
             boost::test_tools::per_element());
  BOOST_TEST(foreignChanges(Old, Shared, "t").empty());
  New.Contracts[0].Team = "v";
  BOOST_TEST(foreignChanges(Old, New, "v").size() == 2U);
}
