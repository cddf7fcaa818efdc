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

/// A number that only grows.
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

/// A number that goes up and down.
class metric_gauge {
public:
  auto set(double Level) -> void {
    Value.store(Level, std::memory_order_relaxed);
  }
  auto value() const -> double { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Value{0};
};

/// All metrics of the process. References it gives stay valid as long as it
/// lives, so callers look a metric up once and keep it. Thread-safe.
class metrics_registry {
public:
  auto counter(const std::string &Name, const metric_labels &Labels = {})
      -> metric_counter &;
  auto gauge(const std::string &Name, const metric_labels &Labels = {})
      -> metric_gauge &;

  /// Shown in seconds; \p Name should end in "_seconds".
  auto summary(const std::string &Name, const metric_labels &Labels = {})
      -> latency_summary &;

  /// Ends the running window of every summary.
  auto rotate() -> void;

  /// All metrics in the text exposition format of scrapers.
  auto exposition() const -> std::string;

private:
  template <class Metric>
  using family = std::map<std::string, std::unique_ptr<Metric>>;
  template <class Metric>
  using families = std::map<std::string, family<Metric>>;

  mutable std::mutex Lock; ///< rank 90: only rank 91 is taken under it
  families<metric_counter> Counters; ///< by name, then by label text
  families<metric_gauge> Gauges;
  families<latency_summary> Summaries;
};

} // namespace tarragon::report
