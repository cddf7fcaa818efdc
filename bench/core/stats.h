#pragma once

#include "bench/core/callrecord.h"

#include <vector>

namespace tarragon::bench {

/// Returns the nearest-rank quantile \p Share of \p Values, or 0 if there are
/// none.
auto quantile(std::vector<double> Values, double Share) -> double;

/// Returns the median, or 0 if there are no values.
auto median(std::vector<double> Values) -> double;

/// Returns the latencies of \p Records in milliseconds.
auto latencies(const std::vector<call_record> &Records) -> std::vector<double>;

/// Returns the share of complete answers in \p Records, or 0 if there are none.
auto completeShare(const std::vector<call_record> &Records) -> double;

} // namespace tarragon::bench
