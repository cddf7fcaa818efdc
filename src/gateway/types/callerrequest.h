#pragma once

#include "gateway/types/headerfield.h"
#include "global/types/time.h"

#include <cstdint>
#include <string>

namespace tarragon::gateway {

/// A complete HTTP request as received from a caller.
struct caller_request {
  std::string Method;
  std::string RequestTarget; ///< path and query, unchanged
  std::string Host;
  header_fields Headers;
  std::string Body;
  bool HasBody = false; ///< also true for a body of length 0
  time_point ReceivedAt;
};

/// Returns a hash of method, host, target and body, which is the same when the
/// request is repeated.
auto fingerprintOf(const caller_request &Request) -> std::uint64_t;

/// An HTTP response to a caller.
struct caller_answer {
  unsigned Status = 200;
  std::string Reason;
  header_fields Headers;
  std::string Body;
  bool BodyOmitted = false; ///< response to HEAD: written without a body
  /// Content-Length of a response to HEAD; empty if it is not known.
  std::string OmittedLength;
};

} // namespace tarragon::gateway
