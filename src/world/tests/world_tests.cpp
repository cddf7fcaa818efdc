#define BOOST_TEST_MODULE world
#include <boost/test/unit_test.hpp>

#include "world/types/coverage.h"
#include "world/types/deployment.h"
#include "world/types/instance.h"
#include "world/types/queryanswer.h"
#include "world/types/queryrequest.h"

using tarragon::coverage;

BOOST_AUTO_TEST_CASE(coverage_without_shards_is_not_complete) {
  BOOST_TEST(!coverage{}.complete());
  BOOST_TEST(coverage{}.share() == 0.0);
}

BOOST_AUTO_TEST_CASE(coverage_is_complete_only_when_all_answered) {
  BOOST_TEST((coverage{3, 3, {}}.complete()));
  BOOST_TEST((!coverage{3, 2, {{"s", 1, {}}}}.complete()));
}

BOOST_AUTO_TEST_CASE(shards_map_to_groups_modulo_group_count) {
  tarragon::service Service;
  Service.Groups = {{"s/a", {}}, {"s/b", {}}};
  BOOST_TEST(Service.groupOf(0).Id == "s/a");
  BOOST_TEST(Service.groupOf(3).Id == "s/b");
}

BOOST_AUTO_TEST_CASE(only_outcomes_before_running_are_proven_not_run) {
  using tarragon::attempt_outcome;
  BOOST_TEST(tarragon::provesNotRun(attempt_outcome::Shed));
  BOOST_TEST(!tarragon::provesNotRun(attempt_outcome::Crashed));
  BOOST_TEST(!tarragon::provesNotRun(attempt_outcome::Expired));
}
