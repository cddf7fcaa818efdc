#define BOOST_TEST_MODULE placement
#include <boost/test/unit_test.hpp>

#include <cstdlib>

/// Fixes the seed of RapidCheck, so that every run checks the same cases.
struct fixed_seed {
  fixed_seed() { setenv("RC_PARAMS", "seed=11 max_success=500", 0); }
};
BOOST_TEST_GLOBAL_FIXTURE(fixed_seed);
