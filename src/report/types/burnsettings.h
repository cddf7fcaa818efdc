#pragma once

#include "global/types/time.h"

namespace tarragon::report {

/// Windows of the burn report. The long window is a multiple of the bucket.
struct burn_settings {
  milliseconds ShortWindow{std::chrono::minutes(5)};
  milliseconds LongWindow{std::chrono::hours(1)};
  milliseconds Bucket{std::chrono::seconds(30)};
};

} // namespace tarragon::report
