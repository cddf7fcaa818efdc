#pragma once

#include <string>

namespace tarragon::transport {

/// Outcome of an HTTP call.
enum class call_end {
  Replied,           ///< a complete reply was received
  NotSent,           ///< proven: no byte of the request was sent
  ClosedBeforeReply, ///< the connection closed before any byte of the reply
  ClosedDuringReply, ///< the connection closed within the reply
  Mismatched,        ///< the reply is for another attempt; connection closed
  TimedOut           ///< sent, but no complete reply in time; connection closed
};

/// The outcome of a call and, as far as received, the reply.
struct http_reply {
  call_end End = call_end::NotSent;
  int Status = 0;
  std::string Body;
};

} // namespace tarragon::transport
