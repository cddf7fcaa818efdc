#include "fleet/servingset.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace tarragon;
using namespace tarragon::fleet;

namespace {

/// Returns \p Strong instances of half a core and \p Weak ones of an eighth,
/// over three failure domains, with a total load of \p Load cores.
auto candidates(const int Strong, const int Weak, const double Load)
    -> std::vector<serving_candidate> {
  std::vector<serving_candidate> All;
  for (int Number = 0; Number < Strong + Weak; ++Number)
    All.push_back({"i" + std::to_string(Number),
                   "zone" + std::to_string(Number % 3),
                   Number < Strong ? 0.5 : 0.125, 0});
  if (!All.empty())
    All.front().Load = Load;
  return All;
}

auto allStrong(const std::vector<instance_id> &Serving, const int Strong)
    -> bool {
  return std::all_of(
      Serving.begin(), Serving.end(),
      [&](const instance_id &Id) { return std::stoi(Id.substr(1)) < Strong; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(servingset)

BOOST_AUTO_TEST_CASE(all_instances_of_a_small_deployment_serve) {
  BOOST_TEST(chooseServing(candidates(0, 6, 0.1)).size() == 6);
  BOOST_TEST(chooseServing(candidates(0, 7, 0.1)).size() == 7);
  BOOST_TEST(chooseServing(candidates(0, 2, 0.1)).size() == 2);
  BOOST_TEST(chooseServing({}).empty());
}

BOOST_AUTO_TEST_CASE(the_strongest_serve_at_any_size) {
  for (const int Weak : {4, 84, 894}) {
    const auto Serving = chooseServing(candidates(6, Weak, 0.8));
    BOOST_TEST(Serving.size() == 6);
    BOOST_TEST(allStrong(Serving, 6));
  }
}

BOOST_AUTO_TEST_CASE(more_instances_serve_as_the_load_grows) {
  BOOST_TEST(chooseServing(candidates(12, 80, 2.0)).size() == 10);
  const auto Serving = chooseServing(candidates(6, 80, 2.0));
  BOOST_TEST(Serving.size() == 6 + 16);
}

BOOST_AUTO_TEST_CASE(serving_instances_spread_over_failure_domains) {
  auto All = candidates(30, 0, 3.6);
  std::map<failure_domain, int> Count;
  for (const instance_id &Id : chooseServing(All))
    ++Count["zone" + std::to_string(std::stoi(Id.substr(1)) % 3)];
  for (const auto &[Domain, Number] : Count)
    BOOST_TEST(Number == 6);
}

BOOST_AUTO_TEST_CASE(the_order_of_the_candidates_does_not_matter) {
  auto All = candidates(4, 20, 0.5);
  const auto One = chooseServing(All);
  std::reverse(All.begin(), All.end());
  const auto Other = chooseServing(All);
  BOOST_TEST(std::set(One.begin(), One.end()) ==
                 std::set(Other.begin(), Other.end()),
             "the same instances are chosen");
}

BOOST_AUTO_TEST_SUITE_END()
