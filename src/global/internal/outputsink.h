#pragma once

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>

#include <atomic>
#include <cstdint>
#include <string>

namespace tarragon::log::internal {

/// Writes lines to stdout without ever waiting. The rest of a line that was
/// cut goes out before the next one; lines that find no room are counted.
class output_sink : public boost::log::sinks::basic_formatted_sink_backend<
                        char, boost::log::sinks::synchronized_feeding> {
public:
  output_sink();

  auto consume(const boost::log::record_view &Record, const string_type &Line)
      -> void;

  auto dropped() const -> std::uint64_t { return Dropped.load(); }

private:
  auto flush() -> bool;

  std::string Rest;
  std::atomic<std::uint64_t> Dropped{0};
};

} // namespace tarragon::log::internal
