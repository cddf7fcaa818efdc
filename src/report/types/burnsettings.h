#pragma once

#include "global/types/time.h"

namespace tarragon::report {

/// The windows of the burn report. LongWindow must be a multiple of Bucket, the
/// granularity of the counts.
struct burn_settings {
  milliseconds ShortWindow{std::chrono::minutes(5)};
  milliseconds LongWindow{std::chrono::hours(1)};
  milliseconds Bucket{std::chrono::seconds(30)};
};

} // namespace tarragon::report
