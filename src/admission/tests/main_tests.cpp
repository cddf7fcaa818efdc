#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include <cstdlib>

/// The same cases in every run.
struct fixed_seed {
  fixed_seed() {
    setenv("RC_PARAMS", "seed=7 max_success=5000 max_size=800", 0);
  }
};
BOOST_TEST_GLOBAL_FIXTURE(fixed_seed);
