#define BOOST_TEST_MODULE account
#include <boost/test/unit_test.hpp>
