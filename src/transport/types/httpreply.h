#pragma once

#include <string>

namespace tarragon::transport {

/// How a call ended.
enum class call_end {
  Replied,    ///< a whole reply came
  NotSent,    ///< proven: no byte of the request left
  Died,       ///< the connection ended before any byte of the reply
  Cut,        ///< the connection ended within the reply
  Mismatched, ///< the reply answers something else; connection closed
  TimedOut    ///< sent, but no whole reply in time; connection closed
};

struct http_reply {
  call_end End = call_end::NotSent;
  int Status = 0;
  std::string Body;
};

} // namespace tarragon::transport
