#pragma once

#include "account/types/usagereport.h"

namespace tarragon::account {

/// A report to be passed on to one instance.
struct relayed_report {
  address To;
  usage_report Report;
};

} // namespace tarragon::account
