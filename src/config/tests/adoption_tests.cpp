#include <boost/test/unit_test.hpp>

#include "config/configadoption.h"
#include "config/tests/filetext.h"
#include "global/hash.h"

using namespace tarragon;
using namespace tarragon::config;

namespace {

auto accepted(const config_version Version,
              const std::string &Text = smallFile()) -> accepted_config {
  return {Version, Text, contentHash(Text), "c", "op", nullptr};
}

} // namespace

BOOST_AUTO_TEST_CASE(adoption_starts_without_a_configuration) {
  BOOST_TEST(config_adoption{}.inForce().Version == 0U);
  BOOST_TEST(!config_adoption{}.inForce().Deployment);
}

BOOST_AUTO_TEST_CASE(adoption_only_increases_the_version) {
  config_adoption Adoption;
  BOOST_TEST(Adoption.adopt(accepted(5)));
  BOOST_TEST(!Adoption.adopt(accepted(4)));
  BOOST_TEST(!Adoption.adopt(accepted(5)));
  BOOST_TEST(Adoption.adopt(accepted(9)));
  BOOST_TEST(Adoption.inForce().Version == 9U);
  BOOST_TEST_REQUIRE(Adoption.inForce().Deployment);
  BOOST_TEST(Adoption.inForce().Deployment->Services.size() == 1U);
}

BOOST_AUTO_TEST_CASE(adoption_refuses_truncated_text) {
  config_adoption Adoption;
  accepted_config Cut = accepted(1);
  Cut.Text.pop_back();
  BOOST_TEST(!Adoption.adopt(Cut));
  BOOST_TEST(Adoption.inForce().Version == 0U);
  BOOST_TEST(!Adoption.refused());
}

BOOST_AUTO_TEST_CASE(unparsable_config_is_kept_for_peers_only) {
  config_adoption Adoption;
  BOOST_TEST(Adoption.adopt(accepted(1)));
  BOOST_TEST(!Adoption.adopt(accepted(3, smallFile() + "newer: 1\n")));
  BOOST_TEST(Adoption.inForce().Version == 1U);
  BOOST_TEST_REQUIRE(Adoption.refused().has_value());
  BOOST_TEST((Adoption.refused()->Fault.Code == result_code::ConfigUnknownKey));
  BOOST_TEST(Adoption.newest().Version == 3U);
  BOOST_TEST(Adoption.adopt(accepted(2)));
  BOOST_TEST(Adoption.refused().has_value());
  BOOST_TEST(Adoption.adopt(accepted(4)));
  BOOST_TEST(!Adoption.refused().has_value());
  BOOST_TEST(Adoption.newest().Version == 4U);
}
