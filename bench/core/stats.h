#pragma once

#include "bench/core/callrecord.h"

#include <vector>

namespace tarragon::bench {

/// The value below which \p Share of \p Values lie; 0 when there are none.
auto quantile(std::vector<double> Values, double Share) -> double;

/// The middle value; 0 when there are none.
auto median(std::vector<double> Values) -> double;

/// Milliseconds of the latencies of \p Records.
auto latencies(const std::vector<call_record> &Records) -> std::vector<double>;

/// The share of \p Records that are complete; 0 when there are none.
auto completeShare(const std::vector<call_record> &Records) -> double;

} // namespace tarragon::bench
