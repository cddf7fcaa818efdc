#include "global/internal/outputsink.h"

#include <fcntl.h>
#include <unistd.h>

namespace tarragon::log::internal {

output_sink::output_sink() {
  const int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0)
    ::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
}

auto output_sink::flush() -> bool {
  const auto Written = ::write(STDOUT_FILENO, Pending.data(), Pending.size());
  if (Written > 0)
    Pending.erase(0, static_cast<std::size_t>(Written));
  return Pending.empty();
}

auto output_sink::consume(const boost::log::record_view &,
                          const string_type &Line) -> void {
  if (!Pending.empty() && !flush()) {
    Dropped.fetch_add(1);
    return;
  }
  Pending = Line + '\n';
  flush();
}

} // namespace tarragon::log::internal
