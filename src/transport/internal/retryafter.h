#pragma once

#include "global/types/time.h"

#include <pistache/http_header.h>

#include <iomanip>
#include <ostream>

namespace tarragon::transport {

/// The Retry-After header of a response, in seconds with three decimals.
class retry_after : public Pistache::Http::Header::Header {
public:
  NAME("Retry-After")

  retry_after() = default;
  explicit retry_after(const milliseconds Wait) : Wait(Wait) {}

  auto write(std::ostream &Stream) const -> void override {
    constexpr int PerSecond = 1000;
    Stream << Wait.count() / PerSecond << '.' << std::setw(3)
           << std::setfill('0') << Wait.count() % PerSecond;
  }

private:
  milliseconds Wait{0};
};

} // namespace tarragon::transport
