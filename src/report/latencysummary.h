#pragma once

#include "global/types/time.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace tarragon::report {

/// Count, sum and quantiles of a latency. Quantiles are estimated over the last
/// finished window or, if there is none, over the current one. Thread-safe.
class latency_summary {
public:
  struct quantile {
    double Share = 0; ///< such as 0.99
    microseconds Latency{0};
  };

  struct reading {
    std::uint64_t Count = 0; ///< since the start
    microseconds Sum{0};     ///< since the start
    std::vector<quantile> Quantiles;
  };

  latency_summary();
  ~latency_summary();
  latency_summary(const latency_summary &) = delete;
  auto operator=(const latency_summary &) -> latency_summary & = delete;

  auto observe(microseconds Latency) -> void;

  /// Finishes the current window and starts a new one.
  auto rotate() -> void;

  auto read() const -> reading;

private:
  struct state;
  std::unique_ptr<state> State; ///< its lock has rank 91: a leaf
};

} // namespace tarragon::report
