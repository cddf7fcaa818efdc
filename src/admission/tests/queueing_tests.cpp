#include "queueingmodel.h"

#include <boost/test/unit_test.hpp>

using namespace tarragon;
using namespace tarragon::admission;
using namespace std::chrono_literals;

namespace {

/// An owner's attempt also occupies its slot during transmission to and from
/// the target.
constexpr double MaxSlotUtilization = 10.0 / 12;

auto measure(const char *Name, const queueing_plan &Plan) -> queueing_figures {
  const queueing_figures Figures = queueing_model(Plan).run();
  BOOST_TEST_MESSAGE(
      Name << ", load " << Plan.Load << ", seed " << Plan.Seed << ": median "
           << Figures.Median.count() << " ms, p99 " << Figures.Tail.count()
           << " ms, complete " << Figures.CompleteShare << ", goodput "
           << Figures.Goodput << ", refused " << Figures.RefusedShare
           << ", extra " << Figures.ExtraShare << ", to the first "
           << Figures.SlowShare);
  return Figures;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_owner_causes_no_refusals_and_guests_lose_no_request) {
  for (const double Load : {0.5, 0.7, 0.8}) {
    const auto Owner = measure("owner", {.Load = Load});
    const auto Guests = measure("guests", {.Owned = false, .Load = Load});
    BOOST_TEST(Owner.RefusedShare == 0.0);
    BOOST_TEST(Owner.ExtraShare <= 0.05);
    BOOST_TEST(Owner.CompleteShare == 1.0);
    BOOST_TEST(Guests.CompleteShare == 1.0);
    BOOST_TEST(Guests.RefusedShare <= 0.2);
  }
}

BOOST_AUTO_TEST_CASE(overload_keeps_goodput) {
  const queueing_plan Plan{.Load = 2.0, .Groups = 1, .Deadline = 200ms};
  const auto Owner = measure("owner", Plan);
  BOOST_TEST(Owner.RefusedShare == 0.0);
  BOOST_TEST(Owner.ExtraShare <= 0.05);
  BOOST_TEST(Owner.Goodput >= 0.9 * MaxSlotUtilization);
  queueing_plan Direct = Plan;
  Direct.Owned = false;
  const auto Guests = measure("guests", Direct);
  BOOST_TEST(Guests.Goodput >= 0.9 * MaxSlotUtilization);
}

BOOST_AUTO_TEST_CASE(a_slow_replica_barely_raises_the_tail_latency) {
  for (const double Load : {0.3, 0.4}) {
    const auto Healthy = measure("healthy", {.Load = Load});
    const auto Slow = measure("one slow", {.Load = Load, .SlowFactor = 20});
    BOOST_TEST(Slow.ExtraShare <= 0.05);
    BOOST_TEST(Slow.SlowShare <= 0.01);
    BOOST_TEST(Slow.Tail <= Healthy.Tail * 1.3);
  }
}

/// Prints the figures of docs/design/limits.md and stragglers.md.
BOOST_AUTO_TEST_CASE(figures, *boost::unit_test::disabled()) {
  for (const std::uint64_t Seed : {1, 2, 3})
    for (const double Load : {0.5, 0.7, 0.8, 0.9}) {
      const queueing_plan Plan{.Load = Load, .Queries = 20000, .Seed = Seed};
      queueing_plan Direct = Plan;
      Direct.Owned = false;
      queueing_plan Near = Plan;
      Near.Hop = 300us;
      queueing_plan Unhedged = Plan;
      Unhedged.HedgeBudget = 0;
      measure("owner", Plan);
      measure("owner, hop 0.3 ms", Near);
      measure("owner, no hedges", Unhedged);
      BOOST_TEST(measure("guests", Direct).ExtraShare >= 0);
    }
  for (const double Load : {0.2, 0.3, 0.4, 0.45, 0.5}) {
    measure("healthy", {.Load = Load, .Queries = 20000});
    measure("one slow", {.Load = Load, .SlowFactor = 20, .Queries = 20000});
    measure(
        "one slow, no hedges",
        {.Load = Load, .SlowFactor = 20, .HedgeBudget = 0, .Queries = 20000});
  }
}
