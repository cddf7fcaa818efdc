#pragma once

#include "config/types/acceptedconfig.h"
#include "config/types/configfault.h"

namespace tarragon::config {

/// An accepted configuration that this build's parser refuses.
struct refused_config {
  accepted_config Config; ///< without a deployment
  config_fault Fault;     ///< the first fault of the file
};

} // namespace tarragon::config
