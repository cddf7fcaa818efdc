#include "route/weightedroundrobin.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using tarragon::route::route;
using tarragon::route::weighted_round_robin;

BOOST_AUTO_TEST_SUITE(weightedroundrobin)

BOOST_AUTO_TEST_CASE(each_share_holds_over_every_prefix_of_the_requests) {
  route Route;
  Route.Name = "split";
  Route.Services = {{"a", 70}, {"b", 25}, {"c", 5}};
  weighted_round_robin RoundRobin;
  std::vector<double> Count(3, 0);
  for (int Request = 1; Request <= 1000; ++Request) {
    Count[RoundRobin.next(Route)] += 1;
    for (std::size_t Index = 0; Index < 3; ++Index)
      BOOST_REQUIRE(std::abs(Count[Index] -
                             Request * Route.Services[Index].Weight / 100) <=
                    1.5);
  }
}

BOOST_AUTO_TEST_CASE(a_service_without_weight_gets_no_requests) {
  route Route;
  Route.Services = {{"a", 0}, {"b", 1}};
  weighted_round_robin RoundRobin;
  for (int Request = 0; Request < 100; ++Request)
    BOOST_REQUIRE(RoundRobin.next(Route) == 1);
}

BOOST_AUTO_TEST_CASE(changed_weights_reset_the_credit) {
  route Route;
  Route.Services = {{"a", 1}, {"b", 1}};
  weighted_round_robin RoundRobin;
  RoundRobin.next(Route);
  Route.Services = {{"a", 0}, {"b", 1}};
  for (int Request = 0; Request < 10; ++Request)
    BOOST_TEST(RoundRobin.next(Route) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
