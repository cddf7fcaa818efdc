#include <boost/test/unit_test.hpp>

#include "standins/platform/objectstore.h"
#include "standins/platform/ratelimit.h"

using namespace tarragon;
using namespace tarragon::standins;

BOOST_AUTO_TEST_SUITE(objects)

BOOST_AUTO_TEST_CASE(a_write_requires_the_current_version) {
  object_store Store;
  BOOST_TEST(Store.put("config/head", "one", 1).Status == 409);
  BOOST_TEST(Store.put("config/head", "one", 0).Version == 1);
  BOOST_TEST(Store.put("config/head", "two", 0).Status == 409);
  BOOST_TEST(Store.put("config/head", "two", 0).Version == 1);
  BOOST_TEST(Store.put("config/head", "two", 1).Version == 2);
  BOOST_TEST(Store.get("config/head").Value == "two");
  BOOST_TEST(Store.revision() == 2);
}

BOOST_AUTO_TEST_CASE(a_recreated_key_continues_its_versions) {
  object_store Store;
  Store.put("a", "one", 0);
  Store.put("a", "two", 1);
  BOOST_TEST(Store.remove("a", 1).Status == 409);
  BOOST_TEST(Store.remove("a", 2).Status == 200);
  BOOST_TEST(Store.remove("a", 2).Status == 404);
  BOOST_TEST(Store.get("a").Version == 0);
  BOOST_TEST(Store.list("").empty());
  BOOST_TEST(Store.put("a", "three", 0).Version == 3);
}

BOOST_AUTO_TEST_CASE(a_watch_returns_the_changes_under_its_prefix) {
  object_store Store;
  Store.put("config/head", "one", 0);
  Store.put("snapshots/x", "two", 0);
  Store.put("config/tail", "three", 0);
  Store.remove("config/head", 1);
  const auto Changed = Store.changedAfter("config/", 1);
  BOOST_TEST_REQUIRE(Changed.size() == 2);
  BOOST_TEST(Changed[0].Key == "config/head");
  BOOST_TEST(Changed[0].Version == 0);
  BOOST_TEST(Changed[1].Value == "three");
  BOOST_TEST(Store.changedAfter("config/", Store.revision()).empty());
}

BOOST_AUTO_TEST_CASE(oversized_values_and_malformed_keys_are_refused) {
  object_store Store;
  std::string Value(object_store::MaxValueBytes, 'x');
  BOOST_TEST(Store.put("a", Value, 0).Status == 200);
  Value += 'x';
  BOOST_TEST(Store.put("b", Value, 0).Status == 413);
  BOOST_TEST(Store.put("b c", "x", 0).Status == 400);
  BOOST_TEST(Store.revision() == 1);
}

BOOST_AUTO_TEST_CASE(the_rate_is_limited_per_second) {
  rate_limit Limit(10);
  time_point Now{std::chrono::seconds(100)};
  int Allowed = 0;
  for (int Call = 0; Call < 50; ++Call)
    Allowed += Limit.allow(Now) ? 1 : 0;
  BOOST_TEST(Allowed == 10);
  Now += milliseconds(500);
  for (int Call = 0; Call < 50; ++Call)
    Allowed += Limit.allow(Now) ? 1 : 0;
  BOOST_TEST(Allowed == 15);
}

BOOST_AUTO_TEST_SUITE_END()
