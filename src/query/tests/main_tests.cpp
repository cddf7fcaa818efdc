#define BOOST_TEST_MODULE query
#include <boost/test/unit_test.hpp>

#include <cstdlib>

/// Makes every run generate the same cases.
struct fixed_seed {
  fixed_seed() {
    setenv("RC_PARAMS", "seed=20240611 max_success=4000 max_size=120", 1);
  }
};
BOOST_TEST_GLOBAL_FIXTURE(fixed_seed);
