#define BOOST_TEST_MODULE fleet
#include <boost/test/unit_test.hpp>

#include "global/log.h"

namespace {

/// Raises the log level: with hundreds of instances in one process, each would
/// log every membership change.
struct quiet_log {
  quiet_log() {
    tarragon::log::configure(tarragon::log::level::Warning,
                             tarragon::log::format::Json);
  }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(quiet_log);
