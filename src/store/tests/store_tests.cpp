#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>

#include "global/backoff.h"
#include "store/callbudget.h"
#include "store/circuitbreaker.h"
#include "store/fakestore.h"

using namespace tarragon;
using namespace tarragon::store;
using namespace std::chrono_literals;

namespace {

constexpr time_point Start{};

} // namespace

BOOST_AUTO_TEST_CASE(budget_allows_the_burst_then_the_rate) {
  call_budget Budget(10, 3, Start);
  for (int Call = 0; Call < 3; ++Call)
    BOOST_TEST(Budget.tryAcquire(Start));
  BOOST_TEST(!Budget.tryAcquire(Start));
  BOOST_TEST(!Budget.tryAcquire(Start + 99ms));
  BOOST_TEST(Budget.tryAcquire(Start + 100ms));
  BOOST_TEST(!Budget.tryAcquire(Start + 100ms));
}

BOOST_AUTO_TEST_CASE(budget_refills_to_its_capacity_at_most) {
  call_budget Budget(10, 2, Start);
  int Acquired = 0;
  while (Budget.tryAcquire(Start + 1h))
    ++Acquired;
  BOOST_TEST(Acquired == 2);
}

BOOST_AUTO_TEST_CASE(budget_ignores_a_time_in_the_past) {
  call_budget Budget(10, 1, Start + 1s);
  BOOST_TEST(Budget.tryAcquire(Start + 1s));
  BOOST_TEST(!Budget.tryAcquire(Start));
  BOOST_TEST(!Budget.tryAcquire(Start + 1s));
}

BOOST_AUTO_TEST_CASE(backoff_stays_under_a_doubling_bound) {
  milliseconds MaxDelay{0};
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    backoff Backoff(10ms, 50ms, Seed);
    for (const milliseconds Bound : {10ms, 20ms, 40ms, 50ms, 50ms}) {
      const milliseconds Delay = Backoff.next();
      BOOST_TEST((Delay >= 0ms && Delay <= Bound));
      MaxDelay = std::max(MaxDelay, Delay);
    }
    Backoff.reset();
    BOOST_TEST((Backoff.next() <= 10ms));
  }
  BOOST_TEST((MaxDelay > 45ms));
}

BOOST_AUTO_TEST_CASE(backoff_delays_depend_on_the_seed) {
  backoff One(1s, 10s, 7);
  backoff Same(1s, 10s, 7);
  backoff Other(1s, 10s, 8);
  const milliseconds Delay = One.next();
  BOOST_TEST((Delay == Same.next()));
  BOOST_TEST((Delay != Other.next()));
}

BOOST_AUTO_TEST_CASE(circuit_opens_after_consecutive_failures) {
  circuit_breaker Breaker(2, 1s, 1);
  Breaker.recordFailure(Start);
  Breaker.recordSuccess();
  Breaker.recordFailure(Start);
  BOOST_TEST(Breaker.allow(Start));
  Breaker.recordFailure(Start);
  BOOST_TEST(!Breaker.allow(Start + 499ms));
}

BOOST_AUTO_TEST_CASE(circuit_allows_one_probe) {
  circuit_breaker Breaker(1, 1s, 1);
  Breaker.recordFailure(Start);
  BOOST_TEST(Breaker.allow(Start + 1s));
  BOOST_TEST(!Breaker.allow(Start + 1s));
  Breaker.recordFailure(Start + 1s);
  BOOST_TEST(!Breaker.allow(Start + 1499ms));
  BOOST_TEST(Breaker.allow(Start + 2s));
  Breaker.recordSuccess();
  BOOST_TEST(Breaker.allow(Start + 2s));
  BOOST_TEST(!Breaker.open());
}

BOOST_AUTO_TEST_CASE(circuit_probes_again_if_no_outcome_is_recorded) {
  circuit_breaker Breaker(1, 1s, 1);
  Breaker.recordFailure(Start);
  BOOST_TEST(Breaker.allow(Start + 1s));
  BOOST_TEST(Breaker.allow(Start + 2s));
}

BOOST_AUTO_TEST_CASE(fake_store_checks_expected_versions) {
  fake_store Store;
  BOOST_TEST(Store.put("a", "x", 0).value() == 1U);
  BOOST_TEST(!Store.put("a", "y", 0).has_value());
  BOOST_TEST(Store.put("a", "y", 1).value() == 2U);
  BOOST_TEST(Store.remove("a", 2).has_value());
  BOOST_TEST(!Store.get("a").has_value());
  BOOST_TEST(Store.put("a", "z", 0).value() == 4U);
}

BOOST_AUTO_TEST_CASE(fake_store_watch_returns_changes_and_deletions) {
  fake_store Store;
  BOOST_TEST(Store.put("p/a", "x", 0).has_value());
  const auto First = Store.watch("p/", 0, 0ms).value();
  BOOST_TEST(First.Changed.size() == 1U);
  BOOST_TEST(Store.remove("p/a", 1).has_value());
  const auto Second = Store.watch("p/", First.Revision, 0ms).value();
  BOOST_TEST_REQUIRE(Second.Changed.size() == 1U);
  BOOST_TEST(Second.Changed[0].Version == 0U);
  BOOST_TEST(Store.watch("p/", Second.Revision, 0ms).value().Changed.empty());
}

BOOST_AUTO_TEST_CASE(fake_store_late_writes_check_the_expected_version) {
  fake_store Store([](const call_kind, const std::string &Key) {
    return Key == "late" ? store_fault::LateWrite : store_fault::None;
  });
  BOOST_TEST(
      (Store.put("late", "x", 0).error().Code == result_code::ReplyLost));
  BOOST_TEST(!Store.get("late").has_value());
  BOOST_TEST(Store.landOne());
  BOOST_TEST(Store.get("late").value().Value == "x");
  BOOST_TEST(!Store.landOne());
}
