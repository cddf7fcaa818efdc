#pragma once

#include "report/latencysummary.h"
#include "report/types/metriclabel.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace tarragon::report {

/// A monotonically increasing counter. Thread-safe.
class metric_counter {
public:
  auto add(std::uint64_t Amount = 1) -> void {
    Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  auto value() const -> std::uint64_t {
    return Value.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> Value{0};
};

/// A value that can go up and down. Thread-safe.
class metric_gauge {
public:
  auto set(double NewValue) -> void {
    Value.store(NewValue, std::memory_order_relaxed);
  }
  auto value() const -> double { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Value{0};
};

/// All metrics of the process. Returned references stay valid for the lifetime
/// of the registry unless the metric is removed, so callers look a metric up
/// once and keep the reference.
/// Thread-safe.
class metrics_registry {
public:
  /// Returns the series of \p Name with \p Labels; creates it at first use.
  auto counter(const std::string &Name, const metric_labels &Labels = {})
      -> metric_counter &;
  /// Removes a series whose only user is the caller.
  auto removeCounter(const std::string &Name, const metric_labels &Labels)
      -> void;

  auto gauge(const std::string &Name, const metric_labels &Labels = {})
      -> metric_gauge &;

  /// Exposed in seconds; \p Name should end in "_seconds".
  auto summary(const std::string &Name, const metric_labels &Labels = {})
      -> latency_summary &;

  /// Finishes the current window of every summary.
  auto rotate() -> void;

  /// Returns all metrics in the Prometheus text exposition format.
  auto exposition() const -> std::string;

private:
  template <class Metric>
  using family = std::map<std::string, std::unique_ptr<Metric>>;
  template <class Metric>
  using families = std::map<std::string, family<Metric>>;

  mutable std::mutex Lock; ///< rank 90: only rank 91 is acquired under it
  families<metric_counter> Counters; ///< by name, then by formatted labels
  families<metric_gauge> Gauges;
  families<latency_summary> Summaries;
};

} // namespace tarragon::report
