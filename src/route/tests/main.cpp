#define BOOST_TEST_MODULE route
#include <boost/test/unit_test.hpp>
