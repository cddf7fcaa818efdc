#include "schedulechecker.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace tarragon::admission;

BOOST_AUTO_TEST_CASE(invariants_hold_under_random_schedules) {
  using step =
      std::tuple<std::uint8_t, std::uint8_t, std::uint8_t, std::uint8_t>;
  BOOST_TEST(rc::check([](const std::vector<step> &Steps) {
    schedule_checker Checker;
    for (const auto &[Kind, Choice, Detail, DelayMs] : Steps)
      Checker.runStep({Kind, Choice, Detail, DelayMs});
    Checker.finish();
    if (!Checker.fault().empty())
      RC_FAIL(Checker.fault());
  }));
}
