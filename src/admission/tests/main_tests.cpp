#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include <cstdlib>

/// Fixes the seed of RapidCheck, so that every run checks the same cases.
struct fixed_seed {
  fixed_seed() {
    setenv("RC_PARAMS", "seed=7 max_success=5000 max_size=800", 0);
  }
};
BOOST_TEST_GLOBAL_FIXTURE(fixed_seed);
