#pragma once

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>

#include <atomic>
#include <cstdint>
#include <string>

namespace tarragon::log::internal {

/// Writes lines to stdout without blocking. The rest of a partly written line
/// is written before the next one; while it is pending, new lines are dropped
/// and counted.
class output_sink : public boost::log::sinks::basic_formatted_sink_backend<
                        char, boost::log::sinks::synchronized_feeding> {
public:
  /// Makes stdout nonblocking.
  output_sink();

  auto consume(const boost::log::record_view &Record, const string_type &Line)
      -> void;

  auto dropped() const -> std::uint64_t { return Dropped.load(); }

private:
  /// Writes as much of the pending text as stdout accepts; returns whether
  /// nothing is left.
  auto flush() -> bool;

  std::string Pending;
  std::atomic<std::uint64_t> Dropped{0};
};

} // namespace tarragon::log::internal
