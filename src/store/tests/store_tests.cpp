#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>

#include "global/backoff.h"
#include "store/callbudget.h"
#include "store/circuit.h"
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
    BOOST_TEST(Budget.take(Start));
  BOOST_TEST(!Budget.take(Start));
  BOOST_TEST(!Budget.take(Start + 99ms));
  BOOST_TEST(Budget.take(Start + 100ms));
  BOOST_TEST(!Budget.take(Start + 100ms));
}

BOOST_AUTO_TEST_CASE(budget_never_saves_more_than_its_capacity) {
  call_budget Budget(10, 2, Start);
  int Taken = 0;
  while (Budget.take(Start + 1h))
    ++Taken;
  BOOST_TEST(Taken == 2);
}

BOOST_AUTO_TEST_CASE(budget_ignores_a_moment_in_the_past) {
  call_budget Budget(10, 1, Start + 1s);
  BOOST_TEST(Budget.take(Start + 1s));
  BOOST_TEST(!Budget.take(Start));
  BOOST_TEST(!Budget.take(Start + 1s));
}

BOOST_AUTO_TEST_CASE(backoff_stays_under_a_doubling_bound) {
  milliseconds Greatest{0};
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    backoff Backoff(10ms, 50ms, Seed);
    for (const milliseconds Bound : {10ms, 20ms, 40ms, 50ms, 50ms}) {
      const milliseconds Delay = Backoff.next();
      BOOST_TEST((Delay >= 0ms && Delay <= Bound));
      Greatest = std::max(Greatest, Delay);
    }
    Backoff.reset();
    BOOST_TEST((Backoff.next() <= 10ms));
  }
  BOOST_TEST((Greatest > 45ms));
}

BOOST_AUTO_TEST_CASE(backoff_repeats_with_its_seed_only) {
  backoff One(1s, 10s, 7);
  backoff Same(1s, 10s, 7);
  backoff Other(1s, 10s, 8);
  const milliseconds Delay = One.next();
  BOOST_TEST((Delay == Same.next()));
  BOOST_TEST((Delay != Other.next()));
}

BOOST_AUTO_TEST_CASE(circuit_opens_after_consecutive_failures) {
  circuit Circuit(2, 1s, 1);
  Circuit.recordFailure(Start);
  Circuit.recordSuccess();
  Circuit.recordFailure(Start);
  BOOST_TEST(Circuit.allow(Start));
  Circuit.recordFailure(Start);
  BOOST_TEST(!Circuit.allow(Start + 499ms));
}

BOOST_AUTO_TEST_CASE(circuit_lets_one_probe_through) {
  circuit Circuit(1, 1s, 1);
  Circuit.recordFailure(Start);
  BOOST_TEST(Circuit.allow(Start + 1s));
  BOOST_TEST(!Circuit.allow(Start + 1s));
  Circuit.recordFailure(Start + 1s);
  BOOST_TEST(!Circuit.allow(Start + 1499ms));
  BOOST_TEST(Circuit.allow(Start + 2s));
  Circuit.recordSuccess();
  BOOST_TEST(Circuit.allow(Start + 2s));
  BOOST_TEST(!Circuit.open());
}

BOOST_AUTO_TEST_CASE(circuit_probes_again_when_a_probe_never_reports) {
  circuit Circuit(1, 1s, 1);
  Circuit.recordFailure(Start);
  BOOST_TEST(Circuit.allow(Start + 1s));
  BOOST_TEST(Circuit.allow(Start + 2s));
}

BOOST_AUTO_TEST_CASE(fake_store_keeps_the_rules_of_versions) {
  fake_store Store;
  BOOST_TEST(Store.put("a", "x", 0).value() == 1U);
  BOOST_TEST(!Store.put("a", "y", 0).has_value());
  BOOST_TEST(Store.put("a", "y", 1).value() == 2U);
  BOOST_TEST(Store.remove("a", 2).has_value());
  BOOST_TEST(!Store.get("a").has_value());
  BOOST_TEST(Store.put("a", "z", 0).value() == 4U);
}

BOOST_AUTO_TEST_CASE(fake_store_watch_tells_changes_and_deletions) {
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

BOOST_AUTO_TEST_CASE(fake_store_late_writes_land_conditionally) {
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
