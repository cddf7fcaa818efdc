#define BOOST_TEST_MODULE fleet
#include <boost/test/unit_test.hpp>

#include "global/log.h"

namespace {

/// Hundreds of instances in one process would write a line each for every
/// change.
struct quiet_log {
  quiet_log() {
    tarragon::log::setUp(tarragon::log::level::Warning,
                         tarragon::log::format::Json);
  }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(quiet_log);
