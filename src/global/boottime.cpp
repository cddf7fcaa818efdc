#include "global/boottime.h"

#include <ctime>

namespace tarragon {

auto bootTime() -> time_point {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return time_point(std::chrono::seconds(Now.tv_sec) +
                    std::chrono::nanoseconds(Now.tv_nsec));
}

} // namespace tarragon
